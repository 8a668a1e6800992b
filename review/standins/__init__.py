"""Small stand-ins of the platform, its servers and its clients, for the scripts of the review."""
