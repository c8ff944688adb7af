"""HTTP interface of the target stand-in."""

import asyncio
import json

import pycurl
import tornado.httpclient
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest
from tornado.web import Application, RequestHandler

from .record import CallIdentity
from .target import CallResult, NextAnswer, Target

__all__ = ["CallHandler", "build_target_application"]

CONTEXT_HEADER = "Mimosaloom-Context"
RAN_HEADER = "Mimosaloom-Ran"
NO_ANSWER_STATUS = 599
# Applies to every sub-call, so that a sub-call without a deadline can't wait for ever.
SUBCALL_TIMEOUT_S = 30.0
MAX_SUBCALLS = 1_000


class SubcallClient(CurlAsyncHTTPClient):
    """Curl HTTP client whose requests can be aborted."""

    def initialize(self, **arguments):
        """Create the client and its table of active requests."""
        super().initialize(**arguments)
        self._active: dict[HTTPRequest, pycurl.Curl] = {}

    def abort(self, request: HTTPRequest) -> None:
        """Abort a request by closing its connection, as a cancelled client does."""
        curl = self._active.get(request)
        if curl is not None:
            self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, "aborted")
            self._process_queue()

    def _curl_setup_request(self, curl, request, buffer, headers):
        super()._curl_setup_request(curl, request, buffer, headers)
        self._active[request.request] = curl

    def _finish(self, curl, curl_error=None, curl_message=None):
        self._active.pop(curl.info["request"].request, None)
        super()._finish(curl, curl_error, curl_message)


class _Handler(RequestHandler):
    def initialize(self, target: Target):
        self.target = target

    def set_default_headers(self):
        self.set_header("Content-Type", "application/json")

    def answer(self, body: object) -> None:
        self.finish(json.dumps(body))


class CallHandler(RequestHandler):
    """Handles the calls to the service of the target."""

    def initialize(self, target: Target, client: SubcallClient):
        """Set the target and the client for sub-calls."""
        self.target = target
        self.client = client

    async def post(self):
        """Run the call; the body, a JSON object, is passed on in sub-calls."""
        try:
            identity = _parse_identity(self.request.headers, self.request.body)
        except (ValueError, TypeError, AttributeError) as error:
            self._send(CallResult(400, "no", {"error": f"invalid call: {error}"}))
            return
        self._send(await self.target.run(identity, self._call_next))

    async def get(self):
        """Run a call without a body."""
        await self.post()

    async def _call_next(self, service: str) -> NextAnswer:
        headers = {"Content-Type": "application/json"}
        context = self.request.headers.get(CONTEXT_HEADER)
        if context is not None:
            headers[CONTEXT_HEADER] = context
        request = HTTPRequest(
            f"{self.target.options.egress_url}/{service}/call",
            method="POST",
            headers=headers,
            body=self.request.body,
            connect_timeout=SUBCALL_TIMEOUT_S,
            request_timeout=SUBCALL_TIMEOUT_S,
        )
        try:
            response = await self.client.fetch(request, raise_error=False)
            return NextAnswer(response.code, json.loads(response.body or b"null"))
        except asyncio.CancelledError:
            self.client.abort(request)
            raise
        except (ValueError, OSError, tornado.httpclient.HTTPError) as error:
            return NextAnswer(NO_ANSWER_STATUS, {"error": str(error)})

    def _send(self, result: CallResult) -> None:
        body = json.dumps(result.body).encode()
        self.set_status(result.status, "Answer")
        self.set_header("Content-Type", "application/json")
        self.set_header(RAN_HEADER, result.ran)
        options = self.target.options
        if options.cut_answers > 0:
            self.target.update_options({"cut_answers": options.cut_answers - 1})
            self._send_truncated(body)
            return
        self.finish(body)

    def _send_truncated(self, body: bytes) -> None:
        stream = self.detach()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        stream.write(head + body[: len(body) // 2])
        stream.close()


class _CancelHandler(_Handler):
    def post(self, call_id: str):
        self.answer({"was": self.target.cancel(call_id)})


class _ControlHandler(_Handler):
    def post(self):
        try:
            self.target.update_options(json.loads(self.request.body))
        except (TypeError, ValueError) as error:
            self.set_status(400)
            self.answer({"error": str(error)})
            return
        self.get()

    def get(self):
        self.answer(self.target.options_as_dict())


class _DrainHandler(_Handler):
    def post(self):
        self.target.update_options({"is_draining": True})
        self.answer({"in_flight": self.target.in_flight})


class _RecordHandler(_Handler):
    def get(self):
        start = int(self.get_argument("from", "0"))
        record = self.target.record
        self.answer({"runs": record.read_runs(start), "refused": record.read_refused()})


class _HealthHandler(_Handler):
    def get(self):
        health = self.target.health()
        self.set_status(200 if health["is_healthy"] else 503)
        self.answer(health)


class _LoadHandler(_Handler):
    def get(self):
        self.answer(self.target.load())


def _parse_identity(headers, body: bytes) -> CallIdentity:
    context = json.loads(headers.get(CONTEXT_HEADER, "{}"))
    fields = json.loads(body) if body else {}
    return CallIdentity(
        request_id=context.get("request_id", ""),
        call_id=context.get("call_id", ""),
        attempt=context.get("attempt", 1),
        class_name=context.get("class_name", ""),
        remaining_ms=context.get("remaining_ms"),
        token=fields.get("token", ""),
    )


def build_target_application(target: Target) -> Application:
    """Build the HTTP interface of a target; requires a running event loop."""
    arguments = {"target": target}
    client = SubcallClient(force_instance=True, max_clients=MAX_SUBCALLS)
    return Application(
        [
            (r"/\.target/cancel/(.+)", _CancelHandler, arguments),
            (r"/\.target/control", _ControlHandler, arguments),
            (r"/\.target/drain", _DrainHandler, arguments),
            (r"/\.target/record", _RecordHandler, arguments),
            (r"/health", _HealthHandler, arguments),
            (r"/load", _LoadHandler, arguments),
            (r"/.*", CallHandler, {"target": target, "client": client}),
        ],
        log_function=lambda handler: None,
    )
