"""Log lines for what is decided about a sub-request: sent again, hedged, failed, left out."""

from loguru import logger

from bergamotgate.clock import milliseconds
from bergamotgate.relay.messages import ClientRequest, SendResult, ServerReply
from bergamotgate.relay.sender import Sending

__all__ = ["log_failure", "log_hedge", "log_no_budget", "log_retry"]


def log_hedge(request: ClientRequest, late: Sending, hedge: Sending, usual_s: float) -> None:
    """A sub-request was late, so another server was asked beside it."""
    logger.bind(
        id=request.attempt,
        pool=late.server.pool,
        late_server=late.server.server,
        late_ms=milliseconds(hedge.started_at - late.started_at),
        usual_ms=milliseconds(usual_s),
        server=hedge.server.server,
        via=hedge.via,
        slowness=round(late.load.slowness, 1),
    ).info("relay: Sub-request hedged.")


def log_retry(request: ClientRequest, sending: Sending, tried: list[str]) -> None:
    """A sub-request was sent again after a failure."""
    logger.bind(
        id=request.attempt, pool=sending.server.pool, server=sending.server.server, tried=tried
    ).info("relay: Sub-request sent again.")


def log_failure(
    request: ClientRequest, sending: Sending, result: SendResult, took_s: float
) -> None:
    """A sub-request ended without a usable reply."""
    reply = isinstance(result, ServerReply)
    logger.bind(
        id=request.attempt,
        pool=sending.server.pool,
        server=sending.server.server,
        via=sending.via,
        zone=sending.server.zone,
        took_ms=milliseconds(took_s),
        status=result.status if reply else None,
        proof="not_run" if (result.not_run if reply else result.surely_not_run) else "unknown",
        failure="refused" if reply and result.not_run else "failed" if reply else result.value,
    ).info("relay: Sub-request failed.")


def log_no_budget(request: ClientRequest, pool: str) -> None:
    """A sub-request was not sent again, as the pool's extra budget is used up."""
    logger.bind(id=request.attempt, pool=pool).info("relay: No budget to send again.")
