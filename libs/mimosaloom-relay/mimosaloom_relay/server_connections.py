"""One connection of a client to the HTTP server, and the requests on it."""

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING

import httptools
from eliot import write_traceback

from mimosaloom_mesh.messages import find_header

from .bodies import SHORT_PIECE_BYTES, Body
from .connections import (
    FlowControl,
    HeadMeter,
    PauseReason,
    encode_head,
)
from .exchanges import Exchange, Incoming, add_framing_headers, count_held_bytes
from .hop_messages import forwarded_headers
from .http_client import Answer
from .pipeline import Pipeline
from .receive_budget import ORDINARY_BYTES

if TYPE_CHECKING:
    from .http_server import RelayServer

__all__ = ["ServerConnection"]

# Time for which the rest of a request is still read after an early answer. Closing a
# connection with unread bytes resets it, and the client would lose the answer.
LINGER_S = 0.5
CONTENT_TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
BAD_REQUEST_RESPONSE = (
    b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
HEAD_TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\n"
    b"Connection: close\r\n\r\n"
)
OVERLOADED_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n"
    b"Connection: close\r\n\r\n"
)
TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
# The limit on heads is for their lines; method, version and line breaks come on top.
START_LINE_BYTES = 1024
# A line counts with its colon and line break, so that the lines that are kept of a head
# are bounded as well as its letters.
LINE_BREAK_BYTES = 3
# Memory that a header line takes besides its letters, by estimate.
LINE_COST_BYTES = 160
# Header lines and short pieces that no request is delayed for.
PROMPT_PARTS = 128
# What is parsed at once of bytes that may hold many short parts.
SLICE_BYTES = 4096
# Parts that are shorter than this on average are short ones.
DENSE_BYTES = 256
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
_REASONS = {status.value: status.phrase for status in HTTPStatus}


class ServerConnection(FlowControl):
    """One connection of a client; httptools calls its `on_` methods.

    Answers are written in the order of the requests, also if requests run at once.

    Attributes:
        stalled_s: Time without progress, as counted by `check_stall`.
        has_served: Whether a request was answered.
    """

    def __init__(self, server: "RelayServer"):
        super().__init__()
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._incoming: Exchange | None = None
        self._pipeline: Pipeline[Exchange] = Pipeline(
            self._may_overlap,
            lambda exchange: server.expect_answer_bytes(exchange.request),
            server.held,
        )
        self._owes_continue = False
        self._has_dropped = False
        self._head_bytes = 0
        self._limits = server.limits()
        self._head_meter = HeadMeter()
        self._head_meter.limit_bytes = self._max_head_bytes
        self._has_stopped_parsing = False
        self._unparsed = b""
        self._is_dense = False
        self.stalled_s = 0.0
        self.has_served = False
        # Header lines and short pieces of the request that is being received.
        self._short_parts = 0
        # Memory of the requests that are queued, and of those of them that are started.
        self._queued_bytes = 0
        self._started_bytes = 0
        self._slice_parts = 0
        self._error_response = BAD_REQUEST_RESPONSE

    @property
    def is_receiving(self) -> bool:
        """Whether part of a request has arrived and the rest has not."""
        has_part = self._incoming is not None or bool(self._unparsed)
        return has_part and not self._has_stopped_parsing

    @property
    def overlapping_count(self) -> int:
        """Number of requests started before one in front of them is answered."""
        return self._pipeline.overlapping_count

    @property
    def is_awaiting_client(self) -> bool:
        """Whether no request is started or complete."""
        return self._pipeline.is_idle and not self.transport.is_closing()

    @property
    def evictable_bytes(self) -> int:
        """Memory of the requests that are not started, which `evict` frees."""
        incoming = self._incoming
        is_started = incoming is not None and incoming.task is not None
        if is_started or self._has_stopped_parsing or self._pipeline.is_stopped:
            return 0
        return self._held_bytes - self._started_bytes

    @property
    def _held_bytes(self) -> int:
        held_bytes = self._queued_bytes + len(self._unparsed)
        if self._incoming is not None and self._incoming.request is None:
            held_bytes += self._incoming.held_bytes
        return held_bytes

    @property
    def _max_head_bytes(self) -> int:
        return self._limits.max_header_bytes + START_LINE_BYTES

    @property
    def _can_write_own(self) -> bool:
        """Whether a response other than the answers may be written now."""
        return self._pipeline.is_idle and not self._pipeline.is_stopped

    def connection_made(self, transport):
        """Start to serve the connection; called by asyncio."""
        self.transport = transport
        self._server.add_connection(self)

    def connection_lost(self, exc):
        """Cancel all requests on the connection; called by asyncio."""
        self._server.connections.discard(self)
        self._stop_parsing()
        self.resume_writing()
        if self._incoming is not None:
            self._incoming.body.fail("the client closed the connection")
        for exchange in self._pipeline.clear():
            exchange.task.cancel()
        self._server.received.update(self, 0)

    def data_received(self, data):
        """Parse received bytes, unless the connection is about to close."""
        if self._has_stopped_parsing:
            return
        self._unparsed += data
        self._parse()

    def resume_reading(self, reason: PauseReason) -> None:
        """Parse what was received before the pause, and read again."""
        super().resume_reading(reason)
        if self._unparsed and not self._pause_reasons:
            # The caller may be a callback of the parser.
            asyncio.get_running_loop().call_soon(self._parse)

    def _parse(self) -> None:
        """Parse what was received, in slices, until it is parsed or reading pauses."""
        while self._unparsed and not self._pause_reasons:
            size = self._choose_slice_bytes()
            piece, self._unparsed = self._unparsed[:size], self._unparsed[size:]
            self._slice_parts = 0
            self._feed_parser(piece)
            self._is_dense = self._slice_parts * DENSE_BYTES > len(piece)
            if self._short_parts > PROMPT_PARTS:
                self._delay_parsing()
        self._update_held()
        if self._server.received.is_exceeded:
            self._server.received.make_room()

    def check_stall(self, elapsed_s: float) -> None:
        """Close the connection if its client has taken too long; called regularly.

        The time is counted in calls, as a process that was paused has not given its
        clients that time.

        Args:
            elapsed_s: Time since the last call.
        """
        incoming = self._incoming
        is_idle = incoming is None and self._pipeline.is_idle
        is_awaited = incoming is not None and incoming.task is None
        if self._has_stopped_parsing or not (is_idle or is_awaited):
            return
        if self._pause_reasons:
            return
        self.stalled_s += elapsed_s
        limits = self._server.limits()
        has_part_of_head = incoming is not None and not incoming.has_head
        timeout_s = (
            limits.header_timeout_s if has_part_of_head else limits.idle_timeout_s
        )
        # The first call may come right after the last progress.
        if self.stalled_s < timeout_s + elapsed_s:
            return
        if incoming is None:
            self.transport.close()
        else:
            self._error_response = TIMEOUT_RESPONSE
            self._reject()

    def _delay_parsing(self) -> None:
        """Let other connections go first after a request of many short parts."""
        delay_s = self._server.parsing_pace.delay_s(self._slice_parts)
        self.pause_reading(PauseReason.PARSING)
        asyncio.get_running_loop().call_later(
            delay_s, self.resume_reading, PauseReason.PARSING
        )

    def _update_held(self) -> None:
        if not self.transport.is_closing():
            self._server.received.update(self, self._held_bytes)

    def _choose_slice_bytes(self) -> int:
        """Return how much is parsed before the bounds are checked again.

        Many short parts, such as requests, header lines or chunks, can follow each
        other in what is read at once. A body in large pieces is parsed as it was read.
        """
        if self._is_dense or self._incoming is None or not self._incoming.has_head:
            return SLICE_BYTES
        return len(self._unparsed)

    def _feed_parser(self, piece: bytes) -> None:
        self._head_meter.add(len(piece))
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserUpgrade:
            # No other protocol is supported: the request is answered without an
            # upgrade, and no bytes after it are parsed.
            self._stop_parsing()
            self._error_response = b""
        except httptools.HttpParserError:
            self._reject()
            return
        if self._head_meter.is_exceeded:
            self._error_response = HEAD_TOO_LARGE_RESPONSE
            self._reject()

    def _stop_parsing(self) -> None:
        self._has_stopped_parsing = True
        self._unparsed = b""

    def on_message_begin(self):
        """Start a request."""
        self.stalled_s = 0.0
        self._slice_parts += 1
        self._short_parts = 0
        self._incoming = Exchange(self.enqueue, lambda: self.transport.abort())
        self._head_bytes = 0
        self._owes_continue = False
        self._limits = self._server.limits()
        self._head_meter.limit_bytes = self._max_head_bytes

    def on_url(self, url):
        """Add a piece of the target of the request."""
        self._incoming.path += url
        self._incoming.held_bytes += len(url)
        self._count_head(len(url))

    def on_header(self, name, value):
        """Add a field of the head, or a trailer, which is ignored."""
        self._slice_parts += 1
        self._short_parts += 1
        size = len(name) + len(value)
        self._count_head(size + LINE_BREAK_BYTES)
        if self._incoming.has_head:
            # A trailer. It could replace what the system has read from the head.
            return
        header = (name.decode("latin-1"), value.decode("latin-1"))
        self._incoming.headers.append(header)
        self._incoming.held_bytes += LINE_COST_BYTES + size

    def on_headers_complete(self):
        """Complete the head, and ask for the body if the client waits."""
        self._head_meter.reset()
        self.stalled_s = 0.0
        # Trailers have the same limit again.
        exchange = self._incoming
        self._head_bytes = 0
        exchange.has_head = True
        exchange.method = self._parser.get_method().decode("latin-1")
        exchange.is_kept_alive = (
            self._parser.should_keep_alive() and not self._parser.should_upgrade()
        )
        version = self._parser.get_http_version()
        if version not in ("1.0", "1.1"):
            raise ValueError("the HTTP version is not supported; use 1.0 or 1.1")
        exchange.is_http_1_0 = version == "1.0"
        if find_header(exchange.headers, "Expect") is not None:
            self._owes_continue = True
            self._write_owed_continue()

    def on_body(self, body):
        """Add a piece of the body, and stop reading while there is no room."""
        self.stalled_s = 0.0
        size = len(body)
        exchange = self._incoming
        self._slice_parts += 1
        if size < SHORT_PIECE_BYTES:
            self._short_parts += 1
        self._head_meter.reset()
        # The client has not waited for the interim response.
        self._owes_continue = False
        exchange.size_bytes += size
        if exchange.request is None:
            exchange.held_bytes += size
        if exchange.size_bytes > self._limits.max_body_bytes:
            self._error_response = CONTENT_TOO_LARGE_RESPONSE
            raise ValueError("the request body is larger than the limit")
        self.feed_with_backpressure(exchange.body.feed, body)

    def on_message_complete(self):
        """Complete the request."""
        self._head_meter.reset()
        self._owes_continue = False
        self.stalled_s = 0.0
        exchange, self._incoming = self._incoming, None
        exchange.body.finish()

    def enqueue(self, exchange: Exchange) -> None:
        """Queue a request that is complete, or too large to buffer, for its answer."""
        if exchange.body.failure:
            return
        if self._pipeline.is_stopped:
            self._drop(exchange)
            return
        exchange.build_request()
        self._queued_bytes += exchange.held_bytes
        if not self._find_memory(exchange):
            self._queued_bytes -= exchange.held_bytes
            exchange.refuse(self._server.refuse(exchange.request))
            self._queued_bytes += exchange.held_bytes
        self._pipeline.add(exchange, exchange.size_bytes)
        self._start_waiting()
        if exchange.task is None:
            exchange.read_at_s = self._server.clock.monotonic_s()

    def _find_memory(self, exchange: Exchange) -> bool:
        """Return whether there is memory to run a request, if need be after evictions.

        Ordinary requests don't need the memory that others share.
        """
        received = self._server.received
        self._update_held()
        if received.is_exceeded:
            received.make_room(spared=self, least_bytes=exchange.held_bytes)
        return not received.is_exceeded or exchange.held_bytes <= ORDINARY_BYTES

    def evict(self) -> None:
        """Refuse the requests that are not started, and close the connection.

        The first of them gets the answer. Those behind it count as not read.
        """
        self._error_response = OVERLOADED_RESPONSE
        for exchange in self._pipeline.drop_waiting():
            self._release(exchange)
            self._drop(exchange)
        self._reject()

    def _release(self, exchange: Exchange) -> None:
        """Free the memory of a request that was queued and is answered or dropped."""
        self._queued_bytes -= exchange.held_bytes
        if exchange.task is not None:
            self._started_bytes -= exchange.held_bytes
        exchange.held_bytes = 0
        self._update_held()

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._max_head_bytes:
            self._error_response = HEAD_TOO_LARGE_RESPONSE
            raise ValueError("the request head is larger than the limit")

    def _reject(self) -> None:
        """Stop parsing after an invalid request, and answer it with an error.

        Where one request ends and the next begins is no longer certain, so the
        connection is closed afterwards.
        """
        if self._has_stopped_parsing:
            return
        self._stop_parsing()
        incoming = self._incoming
        if incoming is not None:
            incoming.body.fail("the request is not valid HTTP or exceeds a limit")
            incoming.body.discard()
            if incoming in self._pipeline and not self._pipeline.is_stopped:
                self._pipeline.remove(incoming)
                self._release(incoming)
                if incoming.task is not None:
                    # It is already being passed on; cancelling it ends the hop.
                    incoming.task.cancel()
        # The rest is read and dropped until the connection closes.
        for reason in list(self._pause_reasons):
            self.resume_reading(reason)
        self._incoming = None
        self._update_held()
        self._write_owed_error()

    def _drop(self, exchange: Exchange) -> None:
        """Drop a request that is not started, as the connection is about to close."""
        exchange.body.discard()
        self._has_dropped = True

    def _write_owed_error(self) -> None:
        """Answer an invalid request and close, once those before it are answered."""
        if not self._has_stopped_parsing or not self._can_write_own:
            return
        self.transport.write(self._error_response)
        loop = asyncio.get_running_loop()
        loop.call_later(LINGER_S, self.transport.close)

    def _write_owed_continue(self) -> None:
        """Ask for the body of a request, once those before it are answered."""
        if self._owes_continue and self._can_write_own:
            self._owes_continue = False
            self.transport.write(CONTINUE_RESPONSE)

    def _may_overlap(self, exchange: Exchange) -> bool:
        """Return whether a request may run beside others.

        The answer to an HTTP/1.0 request may end only with the connection, and those to
        the requests behind it would be lost. A server that stops starts none either, as
        the connection closes after the last answer.
        """
        return (
            not exchange.is_streamed
            and not exchange.is_http_1_0
            and not self._server.is_closing
            and self._server.may_overlap(exchange.request)
        )

    def _start_waiting(self) -> None:
        while (exchange := self._pipeline.start_next()) is not None:
            self._start(exchange)
        is_short_of_memory = (
            self._pipeline.has_waiting and self._server.received.is_exceeded
        )
        if self._pipeline.is_full or is_short_of_memory:
            self.pause_reading(PauseReason.REQUESTS)
        else:
            self.resume_reading(PauseReason.REQUESTS)

    def _start(self, exchange: Exchange) -> None:
        incoming = Incoming(*exchange.take_parts(), exchange.read_at_s)
        exchange.task = asyncio.ensure_future(self._answer(exchange, incoming))
        self._started_bytes += exchange.held_bytes
        self._server.tasks.add(exchange.task)
        exchange.task.add_done_callback(self._server.tasks.discard)

    async def _answer(self, exchange: Exchange, incoming: Incoming) -> None:
        is_answered = False
        try:
            await self._write(exchange, await self._run(exchange, incoming))
            is_answered = True
        finally:
            if not is_answered and exchange in self._pipeline:
                # The requests behind it would wait for ever.
                self.transport.abort()
        exchange.body.discard()
        self._pipeline.remove(exchange)
        self._release(exchange)
        self.stalled_s = 0.0
        self.has_served = True
        if self.transport.is_closing():
            return
        following = self._pipeline.first_started
        if following is not None and following.turn is not None:
            following.turn.set_result(None)
        self._start_waiting()
        self._write_owed_continue()
        self._write_owed_error()

    async def _run(self, exchange: Exchange, incoming: Incoming) -> Answer:
        """Return the answer to a request when it is its turn."""
        try:
            if exchange.refusal is not None:
                answer = Answer(exchange.refusal)
            else:
                answer = await self._server.handle(incoming)
        except Exception:
            write_traceback()
            answer = Answer(self._server.answer_crash())
        if self._pipeline.first_started is not exchange:
            await self._wait_for_turn(exchange, answer)
        return answer

    async def _wait_for_turn(self, exchange: Exchange, answer: Answer) -> None:
        self._pipeline.hold_answer(exchange, count_held_bytes(answer))
        exchange.turn = asyncio.get_running_loop().create_future()
        try:
            await exchange.turn
        except asyncio.CancelledError:
            if answer.streamed_body is not None:
                answer.streamed_body.abort()
            raise

    async def _write(self, exchange: Exchange, answer: Answer) -> None:
        response, streamed_body = answer
        headers = list(forwarded_headers(response.headers))
        is_chunked = add_framing_headers(exchange, response, streamed_body, headers)
        must_close = (
            response.is_last
            or self._server.is_closing
            or not exchange.is_kept_alive
            or not exchange.body.is_complete
            or (streamed_body is not None and not is_chunked and exchange.is_http_1_0)
            or self._pipeline.is_stopped
        )
        if must_close:
            for dropped in self._pipeline.stop_starting():
                self._release(dropped)
                self._drop(dropped)
        # Requests that are already started are answered first.
        is_final = must_close and self._pipeline.last_started is exchange
        if is_final:
            headers.append(("Connection", "close"))
        reason = _REASONS.get(response.status, "Unknown")
        head = encode_head(f"HTTP/1.1 {response.status} {reason}", headers)
        is_head_request = exchange.method == "HEAD"
        self.transport.write(head if is_head_request else head + response.body)
        if streamed_body is not None and not is_head_request:
            await self._write_streamed_body(streamed_body, is_chunked=is_chunked)
        await self.drain()
        if is_final:
            self._close(exchange)

    async def _write_streamed_body(
        self, streamed_body: Body, *, is_chunked: bool
    ) -> None:
        is_complete = False
        try:
            is_complete = await self.write_pieces(streamed_body, is_chunked=is_chunked)
        finally:
            if not is_complete:
                # Closing the connection shows the client that the answer is incomplete.
                streamed_body.abort()
                self.transport.abort()

    def _close(self, exchange: Exchange) -> None:
        if (
            exchange.body.is_complete
            and self._incoming is None
            and not self._has_stopped_parsing
            and not self._has_dropped
            and not self._unparsed
        ):
            self.transport.close()
        else:
            # All requests that waited are dropped.
            self.resume_reading(PauseReason.REQUESTS)
            loop = asyncio.get_running_loop()
            loop.call_later(LINGER_S, self.transport.close)
