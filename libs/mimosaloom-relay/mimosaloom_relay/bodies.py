"""Message bodies that arrive in pieces, with backpressure towards the sender."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable

__all__ = ["MAX_BUFFERED_BYTES", "SHORT_PIECE_BYTES", "Body"]

# Messages up to this size are buffered completely, so that they can be resent, or
# checked before a byte of them is passed on. Larger ones are streamed piece by piece.
MAX_BUFFERED_BYTES = 256 * 1024
# Once some pieces wait, those that are shorter than this are joined to blocks of up to
# `BLOCK_BYTES`, as each object takes some 50 bytes besides its content.
SHORT_PIECE_BYTES = 512
MAX_SEPARATE_PIECES = 16
BLOCK_BYTES = 16 * 1024
# How long a consumer waits for the next piece of a body whose time has passed.
OVERDUE_WAIT_S = 0.15


class Body:
    """Buffer between the socket that a body arrives on and the consumer of the body.

    Args:
        on_ready: Called once, when the body is complete, has failed or is larger than
            `MAX_BUFFERED_BYTES`.
        abort: Aborts the transfer when the consumer stops reading early.

    Attributes:
        is_complete: Whether the body has arrived completely.
        failure: Why the body is incomplete; empty unless it has failed.
        is_consumed: Whether a consumer has begun to stream the body.
    """

    def __init__(self, on_ready: Callable[[], None], abort: Callable[[], None]):
        self.is_complete = False
        self.failure = ""
        self.is_consumed = False
        self.abort = abort
        self._on_ready: Callable[[], None] | None = on_ready
        self._pieces: deque[bytes | bytearray] = deque()
        self._buffered_bytes = 0
        self._is_discarded = False
        self._is_overdue = False
        self._deadline: asyncio.TimerHandle | None = None
        self._body_changed: asyncio.Future | None = None
        self._space_available: asyncio.Future | None = None

    def feed(self, piece: bytes) -> asyncio.Future | None:
        """Add a piece.

        Returns:
            A future that is done when there is room for the next piece; None if there
            is room already.
        """
        if self._is_discarded:
            return None
        if self._is_overdue:
            self._stop_deadline()
        self._append(piece)
        self._buffered_bytes += len(piece)
        self._wake_reader()
        if self._buffered_bytes <= MAX_BUFFERED_BYTES:
            return None
        self._notify_ready()
        self._space_available = asyncio.get_running_loop().create_future()
        return self._space_available

    def _append(self, piece: bytes) -> None:
        is_separate = len(self._pieces) < MAX_SEPARATE_PIECES
        if is_separate or len(piece) >= SHORT_PIECE_BYTES:
            self._pieces.append(piece)
            return
        last = self._pieces[-1]
        if len(last) >= BLOCK_BYTES:
            self._pieces.append(piece)
        elif isinstance(last, bytearray):
            last += piece
        else:
            self._pieces[-1] = bytearray(last) + piece

    def finish(self) -> None:
        """Mark the body as complete, unless it has failed."""
        if not self.failure:
            self.is_complete = True
            self._end()

    def fail(self, reason: str) -> None:
        """Mark the body as incomplete, unless it is complete or has failed already.

        Args:
            reason: Why the rest of the body does not arrive.
        """
        if not self.is_complete and not self.failure:
            self.failure = reason
            self._end()

    def limit_time(self, remaining_s: float) -> None:
        """End the body if its sender does not deliver the rest in time.

        After that time, it ends when the consumer waits for `OVERDUE_WAIT_S` for a
        piece. A consumer that reads slowly gets all that the sender has ready.

        Args:
            remaining_s: Time from now in seconds.
        """
        if not self.is_complete and not self.failure:
            loop = asyncio.get_running_loop()
            self._deadline = loop.call_later(max(0.0, remaining_s), self._note_overdue)

    def discard(self) -> None:
        """Drop the buffered and all later pieces, since the body has no consumer."""
        self._is_discarded = True
        self._pieces.clear()
        self._buffered_bytes = 0
        self._release_sender()

    def take_buffered(self) -> bytes:
        """Return all buffered pieces and clear the buffer."""
        whole = b"".join(self._pieces)
        self._pieces.clear()
        self._buffered_bytes = 0
        return whole

    def peek(self, size: int) -> bytes:
        """Return the first buffered bytes without taking them from the buffer."""
        found = bytearray()
        for piece in self._pieces:
            if len(found) >= size:
                break
            found += piece[: size - len(found)]
        return bytes(found)

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yield the pieces until the body ends.

        Check `is_complete` afterwards, since the body may have failed.
        """
        self.is_consumed = True
        while True:
            while self._pieces:
                piece = self._pieces.popleft()
                self._buffered_bytes -= len(piece)
                if (
                    self._space_available is not None
                    and self._buffered_bytes <= MAX_BUFFERED_BYTES
                ):
                    self._release_sender()
                yield piece
            if self.is_complete or self.failure:
                return
            if self._is_overdue:
                self._await_piece()
            self._body_changed = asyncio.get_running_loop().create_future()
            await self._body_changed

    def _note_overdue(self) -> None:
        self._is_overdue = True
        if not self._pieces:
            self._await_piece()

    def _await_piece(self) -> None:
        """End the overdue body if no piece arrives soon."""
        self._stop_deadline()
        loop = asyncio.get_running_loop()
        self._deadline = loop.call_later(OVERDUE_WAIT_S, self._end_overdue)

    def _end_overdue(self) -> None:
        self.fail("the rest did not arrive in time")
        self.abort()

    def _stop_deadline(self) -> None:
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None

    def _end(self) -> None:
        self._stop_deadline()
        self._wake_reader()
        self._release_sender()
        self._notify_ready()

    def _notify_ready(self) -> None:
        if self._on_ready is not None:
            on_ready, self._on_ready = self._on_ready, None
            on_ready()

    def _wake_reader(self) -> None:
        if self._body_changed is not None and not self._body_changed.done():
            self._body_changed.set_result(None)

    def _release_sender(self) -> None:
        if self._space_available is not None and not self._space_available.done():
            self._space_available.set_result(None)
        self._space_available = None
