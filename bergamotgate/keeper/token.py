"""Tokens that name the one process that may run a request.

A token is ``vm.boot.expiry``; a key is ``token/name``, where the caller chooses the name. The
expiry is a time on the keeper's own clock, so clocks of different processes are never compared.
"""

import re
from dataclasses import dataclass

__all__ = ["BadKey", "KeeperToken", "MAX_KEY_CHARACTERS", "RequestKey", "read_key"]

MAX_KEY_CHARACTERS = 200
KEY_PATTERN = re.compile(r"([A-Za-z0-9_-]+)\.(\d{1,18})\.(\d{1,18})/([A-Za-z0-9_.:-]+)")


@dataclass(frozen=True)
class KeeperToken:
    """Names the process that may run a request, and the expiry.

    Attributes:
        vm: Name of the VM.
        boot: Start of the process, in milliseconds since 1970.
        expires_ms: Expiry, in milliseconds on the keeper's own clock.
    """

    vm: str
    boot: int
    expires_ms: int

    def text(self) -> str:
        """Encode for callers."""
        return f"{self.vm}.{self.boot}.{self.expires_ms}"


@dataclass(frozen=True)
class RequestKey:
    """An idempotency key.

    Attributes:
        token: Token that names the keeper.
        text: The complete key, token included.
    """

    token: KeeperToken
    text: str


@dataclass(frozen=True)
class BadKey:
    """Sentinel for a text that is not a valid key.

    Attributes:
        text: The given text, truncated to MAX_KEY_CHARACTERS.
    """

    text: str


def read_key(text: str) -> RequestKey | BadKey:
    """Parse a caller's key."""
    match = KEY_PATTERN.fullmatch(text) if len(text) <= MAX_KEY_CHARACTERS else None
    if match is None:
        return BadKey(text[:MAX_KEY_CHARACTERS])
    vm, boot, expires_ms, _ = match.groups()
    return RequestKey(KeeperToken(vm, int(boot), int(expires_ms)), text)
