"""Admission for a target that is itself a tornado server."""

import asyncio
from collections.abc import Callable

from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPServerRequest,
    RequestStartLine,
)

from mimosaloom_model import Address, Answered, ErrorKind, Failed, Outcome

from .assembly import DataPath, Place, build_data_path
from .caller import Caller
from .headers import TIMEOUT_HEADER
from .hop import Execution
from .scopes import current_scope
from .server import WholeRequestServer
from .transport import Transport

__all__ = ["AdmittedServer", "admit"]

Application = Callable[[HTTPServerRequest], object]
MIN_SERVER_ERROR_STATUS = 500


class AdmittedServer:
    """A server with admission in front of its application.

    Args:
        data_path: Data path that runs calls on the application.
        server: Server that listens for calls.
    """

    def __init__(self, data_path: DataPath, server: WholeRequestServer):
        self.data_path = data_path
        self.server = server
        self._tick_task: asyncio.Task | None = None

    def listen(self, address: Address) -> Address:
        """Start to serve and return the address with the actual port."""
        self._tick_task = asyncio.ensure_future(self.data_path.gate.run_ticks())
        return self.server.listen(address)

    async def stop(self) -> None:
        """Refuse new calls, finish the calls in progress, close the connections."""
        self.data_path.gate.start_draining()
        await self.server.stop()
        if self._tick_task is not None:
            self._tick_task.cancel()


def admit(
    application: Application,
    place: Place,
    caller: Caller,
    transport: Transport,
    *,
    max_body_bytes: int = 1_048_576,
) -> AdmittedServer:
    """Put admission, deadlines and at-most-once execution in front of an application.

    The calls that the application makes through `caller` are sub-calls of the call
    that its current task runs.

    Args:
        application: A `tornado.web.Application`, or another callable that takes a
            request and answers on the connection of the request.
        place: Identity and limits of the application as a target.
        caller: Makes the sub-calls of the application.
        transport: Sends requests.
        max_body_bytes: Largest request body.

    Returns:
        The server, which is not listening yet.
    """

    async def execute(execution: Execution) -> Outcome:
        return await _run_application(application, execution)

    data_path = build_data_path(place, caller, transport, execute)

    server = WholeRequestServer(
        data_path.ingress.handle,
        clock=caller.clock,
        max_body_bytes=max_body_bytes,
        count_refusal=caller.metrics.count_refusal,
    )
    return AdmittedServer(data_path, server)


class _CapturedConnection(HTTPConnection):
    """Connection that collects the answer of the application instead of sending it."""

    def __init__(self):
        self.done = asyncio.get_running_loop().create_future()
        self._status = 0
        self._headers: tuple[tuple[str, str], ...] = ()
        self._chunks: list[bytes] = []
        self._on_close: Callable[[], None] | None = None

    def set_close_callback(self, callback):
        self._on_close = callback

    def write_headers(self, start_line, headers, chunk=None):
        self._status = start_line.code
        self._headers = tuple(headers.get_all())
        return self.write(chunk or b"")

    def write(self, chunk):
        self._chunks.append(bytes(chunk))
        written = asyncio.get_running_loop().create_future()
        written.set_result(None)
        return written

    def finish(self):
        if not self.done.done():
            body = b"".join(self._chunks)
            self.done.set_result(Answered(self._status, self._headers, body))

    def close(self):
        if self._on_close is not None:
            self._on_close()


async def _run_application(application: Application, execution: Execution) -> Outcome:
    connection = _CapturedConnection()
    # A task that the application creates copies the context variables, so its calls
    # belong to this scope.
    token = current_scope.set(execution.scope)
    try:
        application(_build_request(execution, connection))
    finally:
        current_scope.reset(token)
    try:
        async with asyncio.timeout(execution.remaining.total_seconds()):
            answered = await connection.done
    except TimeoutError:
        connection.close()
        return Failed(ErrorKind.DEADLINE_EXCEEDED)
    except asyncio.CancelledError:
        connection.close()
        raise
    if answered.status < MIN_SERVER_ERROR_STATUS:
        return answered
    detail = f"the application answered with status {answered.status}"
    return Failed(ErrorKind.TARGET_FAILED, detail)


def _build_request(
    execution: Execution, connection: HTTPConnection
) -> HTTPServerRequest:
    headers = HTTPHeaders()
    for name, value in execution.request.headers:
        headers.add(name, value)
    remaining_ms = int(1000 * execution.remaining.total_seconds())
    headers[TIMEOUT_HEADER] = str(remaining_ms)
    headers.setdefault("Host", "localhost")
    start_line = RequestStartLine(
        execution.request.method, execution.request.path, "HTTP/1.1"
    )
    return HTTPServerRequest(
        headers=headers,
        body=execution.request.body,
        connection=connection,
        start_line=start_line,
    )
