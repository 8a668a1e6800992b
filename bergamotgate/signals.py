"""Handles the signals that stop a daemon."""

import asyncio
import signal

__all__ = ["stop_event"]


def stop_event() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set on the running event loop."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    return stopped
