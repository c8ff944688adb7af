"""One connection of a client to the HTTP server, and the requests on it."""

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING

from eliot import write_traceback

from .bodies import Body
from .connections import PauseReason, encode_head
from .exchanges import Exchange, Incoming, add_framing_headers, count_held_bytes
from .hop_messages import forwarded_headers
from .http_client import Answer
from .own_responses import CONTINUE_RESPONSE, OVERLOADED_RESPONSE, TIMEOUT_RESPONSE
from .pipeline import Pipeline
from .receive_budget import ORDINARY_BYTES
from .request_receiver import RequestReceiver

if TYPE_CHECKING:
    from .http_server import RelayServer

__all__ = ["ServerConnection"]

# Time for which the rest of a request is still read after an early answer. Closing a
# connection with unread bytes resets it, and the client would lose the answer.
LINGER_S = 0.5
_REASONS = {status.value: status.phrase for status in HTTPStatus}


class ServerConnection(RequestReceiver):
    """One connection of a client.

    Answers are written in the order of the requests, also if requests run at once.

    Attributes:
        has_served: Whether a request was answered.
    """

    def __init__(self, server: "RelayServer"):
        super().__init__(server)
        self.has_served = False
        self._pipeline: Pipeline[Exchange] = Pipeline(
            self._may_overlap,
            lambda exchange: server.expect_answer_bytes(exchange.request),
            server.held,
        )
        self._has_dropped = False
        # Memory of the requests that are queued, and of those of them that are started.
        self._queued_bytes = 0
        self._started_bytes = 0

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
        self._server.count_closed("time")
        if incoming is None:
            self.transport.close()
        else:
            self._error_response = TIMEOUT_RESPONSE
            self._reject()

    def _check_memory(self) -> None:
        """Update what the connection holds, and close connections if that is too much.

        This connection may be one of them.
        """
        self._update_held()
        if self._server.received.is_exceeded:
            self._server.received.make_room()

    def _update_held(self) -> None:
        if not self.transport.is_closing():
            self._server.received.update(self, self._held_bytes)

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
        self._server.count_closed("memory")
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
