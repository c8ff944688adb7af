"""Keeps the quotas of organisations together with the other nodes.

See docs/design/quotas.md. Decisions are in `mimosaloom_policy.quota`.
"""

from collections.abc import Callable

from mimosaloom_mesh.messages import Request
from mimosaloom_model import Clock
from mimosaloom_policy import Quota, QuotaBounds

from .decision_log import DecisionLog
from .http_client import Answer
from .metrics import RelayMetrics
from .peer_messenger import PeerMessenger
from .peers import PeerRecord

__all__ = ["QUOTA_PATH", "QuotaExchange"]

QUOTA_PATH = "/.mimosaloom/quota"


class QuotaExchange:
    """Asks holders for tokens, and is a holder for other nodes.

    Args:
        own_name: Name of this node.
        own_domain: Failure domain of this node.
        bounds: How far the requests that run may exceed a quota.
        records: Returns the records of all known nodes.
        usable_records: Returns those that can be reached and do not stop.
        messenger: Sends questions to other nodes.
        clock: Source of time.
        log: Receives the log lines of changes.
        metrics: Counts questions and refusals.
    """

    def __init__(
        self,
        own_name: str,
        own_domain: str,
        bounds: QuotaBounds,
        records: Callable[[], list[PeerRecord]],
        usable_records: Callable[[], list[PeerRecord]],
        messenger: PeerMessenger,
        *,
        clock: Clock,
        log: DecisionLog,
        metrics: RelayMetrics,
    ):
        raise NotImplementedError

    def apply_quotas(self, quotas: dict[str, Quota]) -> None:
        """Apply the quotas of a new configuration, by organisation."""
        raise NotImplementedError

    async def acquire(self, organisation: str) -> float:
        """Take a token for a request.

        Returns:
            0 if the request may run; otherwise the time in seconds after which there
            may be room again.
        """
        raise NotImplementedError

    def put_back(self, organisation: str) -> None:
        """Return the token of a request that was refused before it ran."""
        raise NotImplementedError

    async def handle(self, request: Request) -> Answer:
        """Answer a question of another node."""
        raise NotImplementedError
