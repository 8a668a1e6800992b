"""Stand-ins for everything outside: backend servers, platform, network and time."""
