"""A query tier over many shards."""
