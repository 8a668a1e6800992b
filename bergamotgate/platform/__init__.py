"""The adapter of the users' platform: its names, settings, store, servers and clients.

Nothing outside this package knows the platform's names, and nothing is decided here.
"""
