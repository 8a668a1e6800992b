"""Tells peers which servers state no request rate any more."""

from collections.abc import Callable

from loguru import logger

from bergamotgate.placement.rates import RateLimiter
from bergamotgate.wire.generated.ttypes import Datagram
from bergamotgate.wire.port import PeerPort

__all__ = ["LimitEndNews"]


class LimitEndNews:
    """Sends and receives the news that the limit of a server has ended.

    News that is wrong, because the server states a rate again, costs one request for each VM: the
    reply to it states the rate. News that is lost leaves a VM to find out for itself.
    """

    def __init__(self, port: PeerPort, peers: Callable[[], list[str]], rates: RateLimiter):
        self._port = port
        self._peers = peers
        self._rates = rates
        rates.on_limit_end(self._send)
        port.subscribe(self._receive)

    def _send(self, server: str) -> None:
        self._port.send_compressed(self._peers(), limits_ended=[server])

    def _receive(self, address: str, message: Datagram) -> None:
        for server in message.limits_ended or ():
            if server in self._rates.stated():
                logger.bind(server=server, peer=address).info(
                    "placement: A peer reports that the server states no request rate any more."
                )
            self._rates.forget(server)
