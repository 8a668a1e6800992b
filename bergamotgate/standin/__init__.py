"""Test doubles for a fleet's environment: backend servers, platform, network and clock."""
