"""Sets up the log: short sentences with a fixed prefix for each part."""

import sys

from loguru import logger

from bergamotgate.settings import LogFormat, LogLevel

__all__ = ["set_up_logs"]

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level} {extra[vm]} {message}"


def set_up_logs(vm: str, form: LogFormat, level: LogLevel) -> None:
    """Write the log to standard error."""
    logger.enable("bergamotgate")
    logger.remove()
    logger.configure(extra={"vm": vm})
    if form is LogFormat.JSON:
        logger.add(sys.stderr, level=level.upper(), serialize=True)
    else:
        logger.add(sys.stderr, level=level.upper(), format=TEXT_FORMAT)
