"""Open-loop load: orders arrive on a schedule, independent of earlier answers.

An order is one piece of work that a caller wants done. The caller may retry it, so one
order may cause several calls.
"""

import asyncio
import json
import random
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest

from .deployment import Deployment
from .meshes import ClassPlan, MeshPlan
from .verdicts import Attempt, ClassifiedAnswer, Verdict, classify_answer

__all__ = [
    "CallerBehavior",
    "LoadPhase",
    "Order",
    "OrderSender",
    "plan_orders",
    "run_orders",
]

MAX_CLIENT_RETRIES = 2
# Range of the delays before retries. Callers retry early and ignore `Retry-After`, as
# callers under stress do.
CLIENT_RETRY_DELAY_S = (0.1, 0.3)
# Time that a caller waits for an answer beyond the deadline of the request.
CLIENT_TIMEOUT_MARGIN_S = 1.0
MAX_CONCURRENT_CALLS = 4_000
# Status that stands for a call without an answer, as in tornado's HTTP client.
NO_ANSWER_STATUS = 599


class LoadPhase(NamedTuple):
    """A period of constant load.

    Attributes:
        name: Name of the phase.
        duration_s: Length of the phase.
        rate_per_s: Mean number of orders that arrive per second.
        slow_factor: Factor on the service time of the deep service.
    """

    name: str
    duration_s: float
    rate_per_s: float
    slow_factor: float


class Order(NamedTuple):
    """One piece of work that a caller wants done.

    Attributes:
        token: Unique text that a whole answer repeats at every hop.
        request_class: Request class of the order.
        phase: Name of the phase in which the order arrives.
        arrival_offset_s: Time from the start of the load to the arrival.
    """

    token: str
    request_class: ClassPlan
    phase: str
    arrival_offset_s: float


def plan_orders(
    mesh: MeshPlan, phases: list[LoadPhase], rng: random.Random
) -> list[Order]:
    """Return the orders of all phases, with random arrival times, in time order."""
    orders = []
    shares = [request_class.share for request_class in mesh.classes]
    phase_start_s = 0.0
    for phase in phases:
        arrival_s = phase_start_s + rng.expovariate(phase.rate_per_s)
        phase_start_s += phase.duration_s
        while arrival_s < phase_start_s:
            [request_class] = rng.choices(mesh.classes, shares)
            token = f"order-{len(orders)}-{rng.getrandbits(32):08x}"
            orders.append(Order(token, request_class, phase.name, arrival_s))
            arrival_s += rng.expovariate(phase.rate_per_s)
    return orders


class CallerBehavior(NamedTuple):
    """How callers choose idempotency keys and when they retry.

    Attributes:
        make_key: Returns the idempotency key for a call, from the order and the number
            of the call, which starts at 1; None to send no key.
        retries_non_idempotent: Whether callers retry an order of a non-idempotent class
            when it failed or when it is unknown whether it ran.
    """

    make_key: Callable[[Order, int], str] | None = None
    retries_non_idempotent: bool = False


DEFAULT_BEHAVIOR = CallerBehavior()


class OrderSender:
    """Sends orders to entry nodes and records every call with its verdict.

    Create it on a running event loop.

    Args:
        deployment: Mesh that receives the orders.
        rng: Random generator for the choice of entry nodes and the delays of retries.
        behavior: How the callers choose idempotency keys and when they retry.

    Attributes:
        attempts: All calls so far.
    """

    def __init__(
        self,
        deployment: Deployment,
        rng: random.Random,
        behavior: CallerBehavior = DEFAULT_BEHAVIOR,
    ):
        self.behavior = behavior
        self.attempts: list[Attempt] = []
        self._deployment = deployment
        self._rng = rng
        self._client = CurlAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CONCURRENT_CALLS
        )

    async def send(self, order: Order, *, retries: int = MAX_CLIENT_RETRIES) -> Attempt:
        """Send an order, with client retries, and return the last call.

        Args:
            order: Order to send.
            retries: Highest number of client retries.
        """
        arrived_s = time.monotonic()
        for number in range(1, retries + 2):
            if number > 1:
                await asyncio.sleep(self._rng.uniform(*CLIENT_RETRY_DELAY_S))
            start_s = time.monotonic()
            answer = await self._call(order, number)
            attempt = Attempt(
                token=order.token,
                class_name=order.request_class.name,
                phase=order.phase,
                number=number,
                arrived_s=arrived_s,
                start_s=start_s,
                end_s=time.monotonic(),
                answer=answer,
            )
            self.attempts.append(attempt)
            if not _should_retry(order, answer, self.behavior):
                break
        return attempt

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def _call(self, order: Order, number: int) -> ClassifiedAnswer:
        entry_url = self._rng.choice(
            self._deployment.entry_urls(order.request_class.path[0])
        )
        timeout_s = order.request_class.timeout_s + CLIENT_TIMEOUT_MARGIN_S
        headers = {
            "Mimosaloom-Class": order.request_class.name,
            "Content-Type": "application/json",
        }
        if self.behavior.make_key is not None:
            headers["Idempotency-Key"] = self.behavior.make_key(order, number)
        request = HTTPRequest(
            f"{entry_url}/call",
            method="POST",
            headers=headers,
            body=json.dumps({"token": order.token}),
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
            status, body = response.code, response.body or b""
        except HTTPError:
            status, body = NO_ANSWER_STATUS, b""
        return classify_answer(order.token, order.request_class.path, status, body)


def _should_retry(
    order: Order, answer: ClassifiedAnswer, behavior: CallerBehavior
) -> bool:
    if answer.verdict is Verdict.REFUSED_NOT_RUN:
        return True
    may_have_run = answer.verdict in (Verdict.FAILED, Verdict.UNKNOWN)
    return may_have_run and (
        order.request_class.is_idempotent or behavior.retries_non_idempotent
    )


async def run_orders(
    orders: list[Order],
    sender: OrderSender,
    start_s: float,
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
) -> None:
    """Send each order at its arrival time and wait for the last answer to each.

    Args:
        orders: Orders in time order.
        sender: Sender of the orders.
        start_s: Start of the load on the monotonic clock.
        sleep: Sleeps for a number of seconds; called to wait for the next arrival.
    """
    # The task group cancels all orders in flight if the load is cancelled.
    async with asyncio.TaskGroup() as tasks:
        for order in orders:
            delay_s = start_s + order.arrival_offset_s - time.monotonic()
            if delay_s > 0:
                await sleep(delay_s)
            tasks.create_task(sender.send(order))
