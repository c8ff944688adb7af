"""What a client sends on one connection, up to complete requests."""

import asyncio
from typing import TYPE_CHECKING

import httptools

from mimosaloom_mesh.messages import find_header

from .bodies import SHORT_PIECE_BYTES
from .connections import LINE_BREAK_BYTES, FlowControl, HeadMeter, PauseReason
from .exchanges import Exchange
from .own_responses import (
    BAD_REQUEST_RESPONSE,
    CONTENT_TOO_LARGE_RESPONSE,
    HEAD_TOO_LARGE_RESPONSE,
)

if TYPE_CHECKING:
    from .http_server import RelayServer

__all__ = ["RequestReceiver"]

# The limit on heads is for their lines; method, version and line breaks come on top.
START_LINE_BYTES = 1024
# Memory that a header line takes besides its letters, by estimate.
LINE_COST_BYTES = 160
# Header lines and short pieces that no request is delayed for.
PROMPT_PARTS = 128
# What is parsed at once of bytes that may hold many short parts.
SLICE_BYTES = 4096
# Parts that are shorter than this on average are short ones.
DENSE_BYTES = 256


class RequestReceiver(FlowControl):
    """Receives the requests of one connection; httptools calls its `on_` methods.

    It answers clients that send very much or very many short parts: bytes are parsed in
    slices, and not at all while reading pauses. What is done with a request, and with
    an error, is up to the subclass.

    Args:
        server: Has the limits on requests.

    Attributes:
        stalled_s: Time without progress of the client, as the subclass counts it.
    """

    def __init__(self, server: "RelayServer"):
        super().__init__()
        self.stalled_s = 0.0
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        # The request that is being received.
        self._incoming: Exchange | None = None
        # Bytes that were received and wait to be parsed.
        self._unparsed = b""
        self._has_stopped_parsing = False
        self._owes_continue = False
        self._limits = server.limits()
        self._head_bytes = 0
        self._head_meter = HeadMeter()
        self._head_meter.limit_bytes = self._max_head_bytes
        # Requests, header lines and pieces in the last slice.
        self._slice_parts = 0
        # Whether the last slice had many of them.
        self._is_dense = False
        # Header lines and short pieces of the request that is being received.
        self._short_parts = 0
        self._error_response = BAD_REQUEST_RESPONSE

    def enqueue(self, exchange: Exchange) -> None:
        """Process a request that is complete, or too large to buffer."""
        raise NotImplementedError

    def _reject(self) -> None:
        """Answer with `_error_response` and close."""
        raise NotImplementedError

    def _write_owed_continue(self) -> None:
        """Ask for the body of a request, once those before it are answered."""
        raise NotImplementedError

    def _check_memory(self) -> None:
        """Process that what the connection holds has changed."""
        raise NotImplementedError

    @property
    def _max_head_bytes(self) -> int:
        return self._limits.max_header_bytes + START_LINE_BYTES

    def data_received(self, data):
        """Parse received bytes, unless the connection is about to close."""
        if self._has_stopped_parsing:
            return
        self._unparsed += data
        self._parse()

    def resume_reading(self, reason: PauseReason) -> None:
        """Parse what was received before the pause, and read again."""
        if reason not in self._pause_reasons:
            return
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
            if self._short_parts > PROMPT_PARTS and not self._has_stopped_parsing:
                self._delay_parsing()
        self._check_memory()

    def _delay_parsing(self) -> None:
        """Let other connections go first after a request of many short parts."""
        delay_s = self._server.parsing_pace.delay_s(self._slice_parts)
        self.pause_reading(PauseReason.PARSING)
        asyncio.get_running_loop().call_later(
            delay_s, self.resume_reading, PauseReason.PARSING
        )

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

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._max_head_bytes:
            self._error_response = HEAD_TOO_LARGE_RESPONSE
            raise ValueError("the request head is larger than the limit")
