"""Adapter for the users' platform: its names, settings, store, servers and clients.

The platform's names occur only in this package, which makes no decisions of its own.
"""
