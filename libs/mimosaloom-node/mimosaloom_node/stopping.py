"""Graceful stop of a node: refuses new calls and finishes those in flight."""

import asyncio

from eliot import log_message

from mimosaloom_mesh import DataPath, WholeRequestServer
from mimosaloom_model import Clock

__all__ = ["drain_data_path", "wait_until_quiet"]

# Calls are still accepted for this time, while answers and the leave record direct
# callers to other nodes. Refusing calls immediately would cost each caller a retry.
DRAIN_GRACE_S = 1.0
# Time without a request after which the remaining connections are considered idle.
QUIET_S = 0.3
POLL_INTERVAL_S = 0.02


async def drain_data_path(
    data_path: DataPath, clock: Clock, *, timeout_s: float
) -> bool:
    """Stop accepting calls and wait for those in flight.

    Args:
        data_path: Data path to drain.
        clock: Source of time.
        timeout_s: Maximum time to wait for calls in flight.

    Returns:
        Whether all calls in flight ended in time.
    """
    gate = data_path.gate
    gate.announce_draining()
    log_message(message_type="draining", in_flight=gate.admission.in_flight)
    await asyncio.sleep(DRAIN_GRACE_S)
    gate.start_draining()
    give_up_at_s = clock.monotonic_s() + timeout_s
    while not _is_idle(data_path):
        if clock.monotonic_s() >= give_up_at_s:
            log_message(
                message_type="drain_timeout", in_flight=gate.admission.in_flight
            )
            return False
        await asyncio.sleep(POLL_INTERVAL_S)
    return True


async def wait_until_quiet(
    server: WholeRequestServer, clock: Clock, *, timeout_s: float
) -> None:
    """Wait until no more requests arrive on the open connections of a server.

    Args:
        server: Server that accepts no new connections.
        clock: Source of time.
        timeout_s: Maximum time to wait.
    """
    started_s = clock.monotonic_s()
    give_up_at_s = started_s + timeout_s
    while clock.monotonic_s() < give_up_at_s:
        quiet_since_s = max(started_s, server.last_request_s)
        if not server.tasks and clock.monotonic_s() - quiet_since_s >= QUIET_S:
            return
        await asyncio.sleep(POLL_INTERVAL_S)


def _is_idle(data_path: DataPath) -> bool:
    admission = data_path.gate.admission
    has_calls = admission.in_flight or admission.queued
    return not has_calls and not data_path.hop.once_runner.tasks
