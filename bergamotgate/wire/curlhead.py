"""Tells whether the head of a reply that libcurl read was complete.

libcurl takes a connection that closes within the head for the end of a reply without a body.
"""

__all__ = ["HeadWatch"]


class HeadWatch:
    """Header callback of one HTTP request.

    Attributes:
        complete: Whether the head of the last reply ended with a blank line.
    """

    def __init__(self) -> None:
        self.complete = False

    def __call__(self, line: str) -> None:
        """Process one line of the head; trailers of the body do not matter."""
        if line.startswith("HTTP/"):
            self.complete = False  # an informational (1xx) reply may have come before
        elif not line.strip("\r\n"):
            self.complete = True
