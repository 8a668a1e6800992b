"""Parses JSON that comes from outside the process."""

import json
from typing import Any

__all__ = ["read_json"]


def read_json(text: str | bytes) -> Any:
    """Parse JSON text.

    Raises:
        ValueError: The text is not JSON, or its values are nested too deeply to be parsed.
    """
    try:
        return json.loads(text)
    except RecursionError as error:
        raise ValueError("the JSON text is nested too deeply") from error
