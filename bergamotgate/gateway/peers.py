"""Serves the streams that other VMs open, one task for each stream."""

from loguru import logger

from bergamotgate.delegate import DelegateService, DelegateSession
from bergamotgate.errors import FrameError, LinkLost
from bergamotgate.metrics import Metrics
from bergamotgate.publication import PublicationDisseminator
from bergamotgate.wire.codec import WIRE_VERSION, decode_frame, encode, encode_compressed
from bergamotgate.wire.generated import ttypes
from bergamotgate.wire.network import FrameStream, Listener, Network

__all__ = ["PeerStreams"]


class PeerStreams:
    """Answers requests of peers for published items and their delegated sub-requests."""

    def __init__(
        self, disseminator: PublicationDisseminator, delegates: DelegateService, metrics: Metrics
    ):
        self._disseminator = disseminator
        self._delegates = delegates
        self._metrics = metrics
        self._listener: Listener | None = None
        self._streams: set[FrameStream] = set()

    async def open(self, network: Network, address: str) -> None:
        """Start listening.

        Raises:
            AddressInUse: Another process uses the address.
        """
        self._listener = await network.listen(address, self._serve)

    def close(self) -> None:
        """Stop listening and close all streams."""
        if self._listener is not None:
            self._listener.close()
        for stream in list(self._streams):
            stream.close()

    async def _serve(self, stream: FrameStream) -> None:
        self._streams.add(stream)
        session = self._delegates.open_session(lambda replies: _send_replies(stream, replies))
        try:
            while True:
                self._receive(stream, session, decode_frame(await stream.receive()))
        except LinkLost:
            pass  # the peer opens a new stream when it needs one
        except FrameError as error:
            self._metrics.bad_messages.labels("frame").inc()
            logger.warning("peers: Malformed frame from {}: {}", stream.peer, error)
        finally:
            session.close()
            self._streams.discard(stream)
            stream.close()

    def _receive(self, stream: FrameStream, session: DelegateSession, frame: ttypes.Frame) -> None:
        if frame.echo is not None:
            stream.send(encode(ttypes.Frame(version=WIRE_VERSION, echo_reply=frame.echo)))
        for request in frame.delegated_asks or ():
            session.handle(request)
        if frame.delegated_cancels:
            session.cancel(frame.delegated_cancels)
        if frame.published_ask is not None:
            reply = self._disseminator.answer(frame.published_ask)
            if reply is not None:
                answer = ttypes.Frame(version=WIRE_VERSION, published_reply=reply)
                stream.send(encode_compressed(answer))


def _send_replies(stream: FrameStream, replies: list[ttypes.DelegatedReply]) -> None:
    try:
        frame = ttypes.Frame(version=WIRE_VERSION, delegated_replies=replies)
        stream.send(encode_compressed(frame))
    except LinkLost:
        return  # the receive loop sees the lost connection too and closes the session
