"""Checks the status line of replies over HTTP/1.

The parsers of libraries take status codes that HTTP does not define, such as 000, and status lines
of other protocols.
"""

import re

__all__ = ["starts_with_status_line"]

# RFC 9112, section 4, and statuses as in RFC 9110, section 15; 101 answers only a request to switch
# protocols, which is never sent. Some servers leave out the space before an empty reason phrase.
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] (?!101)[1-5][0-9]{2}(?: [\t\x20-\x7e\x80-\xff]*)?\r?\n")


def starts_with_status_line(head: bytes | bytearray) -> bool:
    """Return whether the head of a reply starts with a complete and valid status line."""
    return _STATUS_LINE.match(head) is not None
