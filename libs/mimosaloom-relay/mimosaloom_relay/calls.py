"""A request that entered at this node, and the progress of its attempts."""

from typing import NamedTuple

from mimosaloom_policy import Candidate

from .hop_messages import NO_RANK, HopContext, HopResult
from .http_server import Incoming
from .organisations import Organisation
from .routes import Route

__all__ = ["Call", "Progress"]


class Call(NamedTuple):
    """A request that entered at this node.

    Attributes:
        incoming: The request as received.
        request_id: Id of the request.
        request_key: Key that is the same each time that a caller sends the request.
        route: Route that the request matched.
        service: Service that is to run the request.
        parent: The request on this node's target that makes this call; None for a
            request of a client.
        start_s: When the request arrived, on the monotonic clock.
        deadline_s: When the final answer is due, on the monotonic clock.
        caller_timeout_s: How long the caller waits, from the arrival on: the timeout in
            the request, or the timeout of the route.
        organisation: Organisation of a request of a client; None for none, and for
            calls, which carry no key.
    """

    incoming: Incoming
    request_id: str
    request_key: str
    route: Route
    service: str
    parent: HopContext | None
    start_s: float
    deadline_s: float
    caller_timeout_s: float
    organisation: Organisation | None = None

    @property
    def organisation_name(self) -> str:
        """Name of the organisation; empty for none."""
        return "" if self.organisation is None else self.organisation.name

    @property
    def is_repeat(self) -> bool:
        """Whether the request that makes this call is itself a retry."""
        return self.parent is not None and self.parent.is_repeat

    @property
    def can_be_sent_again(self) -> bool:
        """Whether the body is still complete here.

        A streamed body can't be sent again once its transfer to an upstream has begun.
        """
        body = self.incoming.streamed_body
        return body is None or not body.is_consumed

    @property
    def priority(self) -> int:
        """Priority of the request.

        A call has the priority of its parent, and that of an organisation goes before
        that of the route.
        """
        if self.parent is not None:
            return self.parent.priority
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.request_class.priority


class Progress:
    """Progress of the attempts for one request.

    Attributes:
        attempts: Number of attempts so far.
        arrivals: Number of attempts that reached a target.
        kinds: Why each attempt that has ended brought no answer, or "answered".
        may_have_run: Whether a target may have run the request or may still run it.
        tried: Names of the upstreams that an attempt was sent to.
        reached: Names of the upstreams whose target the request may have reached.
        is_trial: Whether the request is sent after it was held back for a time.
        last_upstream: Name of the upstream of the last attempt; empty before the first.
        first_target_s: Start of the first attempt that reached a target, on the
            monotonic clock; None if none has.
        awaited_node: Node whose answer is awaited; None while no hop is open.
        last_result: Hop result of the last attempt; None before the first.
        retry_after_s: Longest delay that a node has asked for; 0 if none has.
        token_expires_s: Identifies the token of the organisation's quota that the
            request has; None without.
        rank: Rank by fair share; below 0 if it follows from the id and priority alone.
        expected_s: Expected time to the end at the last upstream that was chosen; None
            if not known.
    """

    def __init__(self):
        self.attempts = 0
        self.arrivals = 0
        self.kinds: list[str] = []
        self.may_have_run = False
        self.tried: set[str] = set()
        self.reached: set[str] = set()
        self.is_trial = False
        self.last_upstream = ""
        self.first_target_s: float | None = None
        self.awaited_node: Candidate | None = None
        self.last_result: HopResult | None = None
        self.retry_after_s = 0.0
        self.token_expires_s: float | None = None
        self.rank = NO_RANK
        self.expected_s: float | None = None

    def record_write(self) -> None:
        """Record that an attempt is about to be written, after which it may run."""
        self.may_have_run = True

    @property
    def expected_ms(self) -> int | None:
        """Expected time at the last upstream in milliseconds; None if not known."""
        return None if self.expected_s is None else round(1000 * self.expected_s)
