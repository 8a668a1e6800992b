"""Tells whether the head of a reply that libcurl read was complete and valid.

libcurl takes a connection that closes within the head for the end of a reply without a body. It
takes the first three digits of a longer status, statuses above 599, and other versions of HTTP.
"""

from bergamotgate.errors import BergamotgateError, IncompleteHead, MalformedHead
from bergamotgate.wire.statusline import starts_with_status_line

__all__ = ["HeadWatch"]


class HeadWatch:
    """Header callback of one HTTP request.

    Attributes:
        error: Why the reply cannot be used; None once its head is complete and valid.
    """

    def __init__(self) -> None:
        self.error: BergamotgateError | None = IncompleteHead()

    def __call__(self, line: str) -> None:
        """Process one line of the head; trailers of the body do not matter."""
        if isinstance(self.error, MalformedHead):
            return
        if line.startswith("HTTP/"):
            start = line.encode("latin-1")
            # An informational (1xx) reply may have come before.
            self.error = (
                IncompleteHead() if starts_with_status_line(start) else MalformedHead(start)
            )
        elif not line.strip("\r\n"):
            self.error = None
