"""A request that began at this node, and what has been tried for it."""

from typing import NamedTuple

from mimosaloom_policy import Candidate

from .hop_messages import HopContext, HopResult
from .http_server import Incoming
from .routes import Route

__all__ = ["Call", "Progress"]


class Call(NamedTuple):
    """A request that began here.

    Attributes:
        incoming: What arrived.
        request_id: Its id.
        route: Its route.
        service: The service that is to run it.
        parent: The request on the own target that makes this call; None for a
            request of a client.
        start_s: When it arrived, on the monotonic clock.
        deadline_s: When its final answer is due, on the monotonic clock.
        patience_s: How long its client waits in all.
    """

    incoming: Incoming
    request_id: str
    route: Route
    service: str
    parent: HopContext | None
    start_s: float
    deadline_s: float
    patience_s: float

    @property
    def is_repeat(self) -> bool:
        """Whether it is a call of a run that was a repeat."""
        return self.parent is not None and self.parent.is_repeat

    @property
    def can_be_sent_again(self) -> bool:
        """Whether no part of its body has been passed on and is gone."""
        rest = self.incoming.rest
        return rest is None or not rest.is_consumed

    @property
    def priority(self) -> int:
        """A call is as important as the request that needs it."""
        if self.parent is not None:
            return self.parent.priority
        return self.route.request_class.priority


class Progress:
    """What has been tried for one request.

    Attributes:
        attempts: Upstreams that were asked.
        arrivals: Attempts that reached a target.
        may_have_run: Whether some target may have run it, or may run it yet.
        tried: Upstreams that were asked.
        reached: Upstreams whose target the request may have reached.
        waits_for: Node whose answer is awaited.
        last: What the last attempt gave.
        retry_after_s: Longest time that a node has asked for; 0 if none has.
    """

    def __init__(self):
        self.attempts = 0
        self.arrivals = 0
        self.may_have_run = False
        self.tried: set[str] = set()
        self.reached: set[str] = set()
        self.waits_for: Candidate | None = None
        self.last: HopResult | None = None
        self.retry_after_s = 0.0
