"""Quarantine of requests that crash the backend servers that run them."""

from bergamotgate.quarantine.book import QuarantineBook, Suspicion

__all__ = ["QuarantineBook", "Suspicion"]
