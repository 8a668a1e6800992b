"""Exceptions of the project, each with the offending value as an attribute."""

from dataclasses import dataclass

__all__ = [
    "AddressInUse",
    "BergamotgateError",
    "ConfigurationError",
    "ConnectionDied",
    "ConnectionRefused",
    "ExchangeTimedOut",
    "FrameError",
    "IncompleteHead",
    "LinkLost",
    "MalformedHead",
    "PlatformUnavailable",
    "Problem",
    "SettingsError",
    "TablesRejected",
    "UnknownTransferCoding",
    "VmListRejected",
    "WrongReply",
]

# Error messages quote no more of what was received.
MAX_QUOTED_BYTES = 60


@dataclass(frozen=True)
class Problem:
    """One error in a file that is written by hand.

    Attributes:
        place: Path inside the file (``pools.catalogue.slots``) or ``line 3 column 7``.
        expected: What would be valid.
        found: What is there, truncated.
    """

    place: str
    expected: str
    found: str

    def __str__(self) -> str:
        return f"{self.place}: expected {self.expected}, found {self.found}"


class BergamotgateError(Exception):
    """Base of all errors that the project raises."""


class ConfigurationError(BergamotgateError):
    """A file that is written by hand has errors.

    Attributes:
        source: File name, or the name of the table.
        problems: Every error found.
    """

    def __init__(self, source: str, problems: tuple[Problem, ...]):
        lines = "; ".join(str(problem) for problem in problems)
        super().__init__(f"{source}: {lines}")
        self.source = source
        self.problems = problems


class SettingsError(ConfigurationError):
    """The settings of a daemon have errors."""


class TablesRejected(ConfigurationError):
    """A published pair of tables has errors; the last accepted pair stays in force."""


class VmListRejected(ConfigurationError):
    """A published VM list has errors; the last accepted list stays in force."""


class PlatformUnavailable(BergamotgateError):
    """A service of the platform gave no usable answer.

    Attributes:
        service: Name of the service.
        cause: Exception or text that describes the failure.
    """

    def __init__(self, service: str, cause: object):
        super().__init__(f"{service} is unavailable: {cause}")
        self.service = service
        self.cause = cause


class FrameError(BergamotgateError):
    """A message from a peer cannot be decoded.

    Attributes:
        size: Length of the message in bytes.
        cause: Exception or text that describes the fault.
    """

    def __init__(self, size: int, cause: object):
        super().__init__(f"cannot decode {size} bytes: {cause}")
        self.size = size
        self.cause = cause


class LinkLost(BergamotgateError):
    """The connection to a peer could not be made, was lost, or carried no reply in time.

    Attributes:
        address: ``ip:port`` of the peer.
    """

    def __init__(self, address: str):
        super().__init__(f"connection to peer {address} failed")
        self.address = address


class AddressInUse(BergamotgateError):
    """An address cannot be bound, usually because another process listens on it.

    Attributes:
        address: ``ip:port`` that could not be bound.
    """

    def __init__(self, address: str):
        super().__init__(f"address {address} is in use")
        self.address = address


class IncompleteHead(BergamotgateError):
    """A connection closed within the head of a reply."""

    def __init__(self) -> None:
        super().__init__("closed within the head of the reply")


class MalformedHead(BergamotgateError):
    """The head of a reply is not valid HTTP.

    Attributes:
        head: Bytes of the head, truncated.
    """

    def __init__(self, head: bytes):
        self.head = head[:MAX_QUOTED_BYTES]
        super().__init__(f"{self.head!r} is not the head of a reply")


class UnknownTransferCoding(BergamotgateError):
    """The body of a reply is transferred in another coding than chunks.

    Attributes:
        codings: Values of Transfer-Encoding, truncated.
    """

    def __init__(self, codings: str):
        self.codings = codings[:MAX_QUOTED_BYTES]
        super().__init__(f"unknown transfer coding {self.codings!r}")


class ExchangeError(BergamotgateError):
    """An exchange with a backend server gave no usable reply.

    Attributes:
        address: ``ip:port`` of the backend server.
        cause: Exception or text that describes the failure; empty when there is none.
    """

    def __init__(self, address: str, cause: object = ""):
        super().__init__(f"{type(self).__name__} at {address} {cause}".rstrip())
        self.address = address
        self.cause = cause


class ConnectionRefused(ExchangeError):
    """No connection could be made, so nothing was sent."""


class ConnectionDied(ExchangeError):
    """The connection closed before the reply was complete."""


class ExchangeTimedOut(ExchangeError):
    """No reply arrived in time; the connection must not be reused."""


class WrongReply(ExchangeError):
    """A reply belongs to another request or is corrupt."""
