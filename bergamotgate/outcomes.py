"""Results of requests without an answer: proven not to have run, or unknown.

``NotRun`` accepts only reasons that prove that nothing ran; ``Unknown`` accepts the others. A
result that claims more than its reason proves therefore cannot be constructed.
"""

from dataclasses import dataclass
from enum import StrEnum

from bergamotgate.wire.generated.ttypes import Reason

__all__ = [
    "NotRun",
    "NotRunReason",
    "PROVEN_NOT_RUN",
    "Refusal",
    "Unknown",
    "UnknownReason",
    "reason_name",
]


class NotRunReason(StrEnum):
    """Reasons of refusals made before anything was sent to a backend server."""

    NO_ROUTE = "no_route"
    BAD_DEADLINE = "bad_deadline"
    BODY_TOO_LARGE = "body_too_large"
    BAD_KEY = "bad_key"
    KEY_REUSED = "key_reused"
    KEY_REQUIRED = "key_required"
    TOKEN_EXPIRED = "token_expired"
    KEEPER_LEFT = "keeper_left"
    OVERLOADED = "overloaded"
    VIEW_UNCONFIRMED = "view_unconfirmed"
    NO_CONFIGURATION = "no_configuration"
    DRAINING = "draining"
    QUARANTINED = "quarantined"
    NO_SERVER = "no_server"
    ALL_DECLINED = "all_declined"
    RATE_LIMITED = "rate_limited"
    SERVERS_PAUSED = "servers_paused"


class UnknownReason(StrEnum):
    """Reasons of refusals after which the request may have run."""

    TIMED_OUT = "timed_out"
    CONNECTION_DIED = "connection_died"
    KEEPER_GONE = "keeper_gone"
    KEEPER_UNASKED = "keeper_unasked"
    TOKEN_OUTLIVED = "token_outlived"
    SERVER_ERROR = "server_error"
    COVERAGE_BELOW = "coverage_below"
    ANSWER_TOO_LARGE = "answer_too_large"
    VM_LEFT = "vm_left"
    INTERNAL = "internal"


@dataclass(frozen=True)
class NotRun:
    """The request did not run and will not run.

    Raises:
        TypeError: The reason is not a ``NotRunReason``.
    """

    reason: NotRunReason

    def __post_init__(self) -> None:
        if not isinstance(self.reason, NotRunReason):
            raise TypeError(f"{self.reason!r} does not prove that nothing ran")


@dataclass(frozen=True)
class Unknown:
    """The request may have run.

    Raises:
        TypeError: The reason is not an ``UnknownReason``.
    """

    reason: UnknownReason

    def __post_init__(self) -> None:
        if not isinstance(self.reason, UnknownReason):
            raise TypeError(f"{self.reason!r} is not a reason for an unknown outcome")


Refusal = NotRun | Unknown

PROVEN_NOT_RUN = frozenset(
    {
        Reason.EXPIRED_IN_QUEUE,
        Reason.QUEUE_FULL,
        Reason.NOT_OWNER,
        Reason.OWNER_NOT_READY,
        Reason.NO_FREE_SLOT,
        Reason.SERVER_SHED,
        Reason.SERVER_DRAINING,
        Reason.SNAPSHOT_MISSING,
        Reason.CONNECT_FAILED,
        Reason.SERVER_OUT,
        Reason.VIEW_UNCONFIRMED,
        Reason.CANCELLED_IN_QUEUE,
        Reason.UNKNOWN_SERVER,
    }
)


def reason_name(reason: int) -> str:
    """Return a sub-request's reason in lower case, as in metric labels and answers."""
    return Reason._VALUES_TO_NAMES.get(reason, "unlisted").lower()
