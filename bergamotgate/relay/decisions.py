"""Logs the decisions about a sub-request: hedged, retried, failed, or not retried."""

from loguru import logger

from bergamotgate.clock import milliseconds
from bergamotgate.relay.messages import ClientRequest, SendResult, ServerReply
from bergamotgate.relay.sender import SubAttempt

__all__ = ["log_budget_exhausted", "log_failure", "log_hedge", "log_retry"]


def log_hedge(request: ClientRequest, slow: SubAttempt, hedge: SubAttempt, p90_s: float) -> None:
    """Log that a slow sub-request was hedged with one to another server."""
    logger.bind(
        id=request.attempt,
        pool=slow.server.pool,
        late_server=slow.server.server,
        late_ms=milliseconds(hedge.started_at - slow.started_at),
        usual_ms=milliseconds(p90_s),
        server=hedge.server.server,
        via=hedge.via,
        slowness=round(slow.load.slowness, 1),
    ).info("relay: Sub-request hedged.")


def log_retry(request: ClientRequest, sub_attempt: SubAttempt, tried: list[str]) -> None:
    """Log that a sub-request was retried after a failure."""
    logger.bind(
        id=request.attempt,
        pool=sub_attempt.server.pool,
        server=sub_attempt.server.server,
        tried=tried,
    ).info("relay: Sub-request sent again.")


def log_failure(
    request: ClientRequest, sub_attempt: SubAttempt, result: SendResult, took_s: float
) -> None:
    """Log that a sub-request ended without a usable reply."""
    reply = isinstance(result, ServerReply)
    logger.bind(
        id=request.attempt,
        pool=sub_attempt.server.pool,
        server=sub_attempt.server.server,
        via=sub_attempt.via,
        zone=sub_attempt.server.zone,
        took_ms=milliseconds(took_s),
        status=result.status if reply else None,
        proof="not_run" if (result.not_run if reply else result.proves_not_run) else "unknown",
        failure="refused" if reply and result.not_run else "failed" if reply else result.value,
    ).info("relay: Sub-request failed.")


def log_budget_exhausted(request: ClientRequest, pool: str) -> None:
    """Log that a sub-request was not repeated because the pool's extra budget is exhausted."""
    logger.bind(id=request.attempt, pool=pool).info("relay: No budget to send again.")
