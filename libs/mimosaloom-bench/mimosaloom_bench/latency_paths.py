"""Calls that the latency bench compares, and the mesh of one target that they use."""

import json
import random
from collections.abc import Awaitable, Callable
from urllib.parse import urlsplit

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest

from mimosaloom_mesh import FixedDirectory, Request, Transport, build_caller
from mimosaloom_model import Answered, SystemClock, build_catalog
from mimosaloom_policy import Candidate

from .latency_target import INCARNATION
from .meshes import ClassPlan, MeshPlan, ServicePlan

__all__ = ["BODY_BYTES", "PLAN", "SERVICE", "Call", "embedded_call", "plain_call"]

BODY_BYTES = 200
CALL_TIMEOUT_S = 5.0

SERVICE = "echo"
CLASS_NAME = "echo-call"
TOKEN = "latency-order-1"
BODY = json.dumps({"token": TOKEN, "padding": ""}).encode()
BODY = BODY.replace(b'""', b'"' + b"x" * (BODY_BYTES - len(BODY)) + b'"')
PLAN = MeshPlan(
    name="latency",
    region="local",
    failure_domains=("local-a",),
    services=(ServicePlan(SERVICE, 1, 64, 500, 0.0),),
    classes=(ClassPlan(CLASS_NAME, 2, True, False, (SERVICE,), 1.0),),
    deep_service=SERVICE,
    normal_per_s=250.0,
)

# Makes one call and returns whether its answer is whole.
Call = Callable[[], Awaitable[bool]]


def plain_call(client: CurlAsyncHTTPClient, url: str) -> Call:
    """Return a call with an HTTP client, to a target or to a node's ingress."""

    async def call() -> bool:
        request = HTTPRequest(
            f"{url}/call",
            method="POST",
            headers={
                "Mimosaloom-Class": CLASS_NAME,
                "Content-Type": "application/json",
            },
            body=BODY,
            request_timeout=CALL_TIMEOUT_S,
        )
        try:
            response = await client.fetch(request, raise_error=False)
        except HTTPError:
            return False
        return response.code == 200 and _has_token(response.body)

    return call


def embedded_call(transport: Transport, url: str) -> Call:
    """Return a call with an embedded `Caller` to a target with embedded admission."""
    parts = urlsplit(url)
    candidate = Candidate(
        name="echo-embedded",
        host=parts.hostname,
        port=parts.port,
        failure_domain="local-a",
        slots=PLAN.service(SERVICE).slots,
        max_connections=PLAN.service(SERVICE).max_connections,
        incarnation=INCARNATION,
    )
    directory = FixedDirectory(
        build_catalog(PLAN.build_documents()), {SERVICE: [candidate]}
    )
    caller = build_caller(
        "latency",
        "local-a",
        directory,
        clock=SystemClock(),
        rng=random.Random(3),
        transport=transport,
    )
    request = Request("POST", "/call", (("Content-Type", "application/json"),), BODY)

    async def call() -> bool:
        outcome = await caller.call(SERVICE, request, class_name=CLASS_NAME)
        return (
            isinstance(outcome, Answered)
            and outcome.status == 200
            and _has_token(outcome.body)
        )

    return call


def _has_token(body: bytes) -> bool:
    return TOKEN.encode() in body
