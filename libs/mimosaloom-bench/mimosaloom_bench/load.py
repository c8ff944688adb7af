"""Open-loop load: orders arrive by the clock, whatever became of earlier ones."""

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
from .verdicts import Attempt, Judgement, Verdict, judge_answer

__all__ = [
    "CallerHabits",
    "LoadPhase",
    "Order",
    "OrderSender",
    "plan_orders",
    "run_orders",
]

MAX_CLIENT_RETRIES = 2
# Callers come back early and ignore `Retry-After`, as callers under stress do.
CLIENT_RETRY_DELAY_S = (0.1, 0.3)
CLIENT_EXTRA_TIME_S = 1.0
MAX_CLIENTS = 4_000
NO_ANSWER_STATUS = 599


class LoadPhase(NamedTuple):
    """A stretch of time with one load.

    Attributes:
        name: Name of the phase.
        duration_s: Its length.
        rate_per_s: Orders that arrive a second.
        slow_factor: Factor on the service time of the deep service.
    """

    name: str
    duration_s: float
    rate_per_s: float
    slow_factor: float


class Order(NamedTuple):
    """One request of a customer.

    Attributes:
        token: Unique text that a whole answer repeats at every hop.
        plan: Its request class.
        phase: Phase in which it arrives.
        at_s: Arrival after the start of the load.
    """

    token: str
    plan: ClassPlan
    phase: str
    at_s: float


def plan_orders(
    mesh: MeshPlan, phases: list[LoadPhase], rng: random.Random
) -> list[Order]:
    """Return the orders of all phases with random arrivals, in order of time."""
    orders = []
    shares = [request_class.share for request_class in mesh.classes]
    phase_start_s = 0.0
    for phase in phases:
        at_s = phase_start_s + rng.expovariate(phase.rate_per_s)
        phase_start_s += phase.duration_s
        while at_s < phase_start_s:
            [request_class] = rng.choices(mesh.classes, shares)
            token = f"order-{len(orders)}-{rng.getrandbits(32):08x}"
            orders.append(Order(token, request_class, phase.name, at_s))
            at_s += rng.expovariate(phase.rate_per_s)
    return orders


class CallerHabits(NamedTuple):
    """What callers do besides sending each order.

    Attributes:
        key: Returns the idempotency key for a call of an order, by its number from
            1; without it, no key is sent.
        repeats_unclear: Whether an order whose outcome is open is repeated even if
            its class is not idempotent.
    """

    key: Callable[[Order, int], str] | None = None
    repeats_unclear: bool = False


NO_HABITS = CallerHabits()


class OrderSender:
    """Sends orders to entry nodes and keeps every call and its verdict.

    Create it on a running event loop.

    Args:
        deployment: Where the orders go.
        rng: Chooses entry nodes and the delays of client retries.
        habits: What the callers do besides.
    """

    def __init__(
        self,
        deployment: Deployment,
        rng: random.Random,
        habits: CallerHabits = NO_HABITS,
    ):
        self.habits = habits
        self.attempts: list[Attempt] = []
        self._deployment = deployment
        self._rng = rng
        self._client = CurlAsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENTS)

    async def send(self, order: Order, *, retries: int = MAX_CLIENT_RETRIES) -> Attempt:
        """Send an order, with client retries; return the last call."""
        ordered_s = time.monotonic()
        for number in range(1, retries + 2):
            if number > 1:
                await asyncio.sleep(self._rng.uniform(*CLIENT_RETRY_DELAY_S))
            start_s = time.monotonic()
            judgement = await self._call(order, number)
            attempt = Attempt(
                token=order.token,
                class_name=order.plan.name,
                phase=order.phase,
                number=number,
                ordered_s=ordered_s,
                start_s=start_s,
                end_s=time.monotonic(),
                judgement=judgement,
            )
            self.attempts.append(attempt)
            if not _may_repeat(order, judgement, self.habits):
                break
        return attempt

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def _call(self, order: Order, number: int) -> Judgement:
        entry_url = self._rng.choice(self._deployment.entries(order.plan.path[0]))
        timeout_s = order.plan.timeout_s + CLIENT_EXTRA_TIME_S
        headers = {
            "Mimosaloom-Class": order.plan.name,
            "Content-Type": "application/json",
        }
        if self.habits.key is not None:
            headers["Idempotency-Key"] = self.habits.key(order, number)
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
        return judge_answer(order.token, order.plan.path, status, body)


def _may_repeat(order: Order, judgement: Judgement, habits: CallerHabits) -> bool:
    if judgement.verdict is Verdict.REFUSED_NOT_RUN:
        return True
    is_open = judgement.verdict in (Verdict.FAILED, Verdict.UNKNOWN)
    return is_open and (order.plan.is_idempotent or habits.repeats_unclear)


async def run_orders(
    orders: list[Order],
    sender: OrderSender,
    start_s: float,
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
) -> None:
    """Send each order at its time and wait until all have their last answer.

    Args:
        orders: Orders in order of time.
        sender: Sends them.
        start_s: Start of the load on the monotonic clock.
        sleep: Waits for the next arrival, in seconds.
    """
    # The group cancels all orders under way if the load is cut short.
    async with asyncio.TaskGroup() as group:
        for order in orders:
            ahead_s = start_s + order.at_s - time.monotonic()
            if ahead_s > 0:
                await sleep(ahead_s)
            group.create_task(sender.send(order))
