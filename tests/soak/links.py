"""Proxies in front of nodes that delay, cut, silence or reset their connections."""

import asyncio
import contextlib
from enum import StrEnum

from mimosaloom_model import Address

__all__ = ["LinkMode", "LinkProxy"]

CHUNK_BYTES = 65536
DELAY_S = 0.15


class LinkMode(StrEnum):
    """What a proxy does with its connections.

    Attributes:
        OPEN: Passes all bytes on.
        SLOW: Passes all bytes on after a delay.
        SILENT: Holds the bytes of both directions back, as a partition does.
        NO_ANSWERS: Holds the bytes towards the caller back.
        REFUSED: Resets new connections.
    """

    OPEN = "open"
    SLOW = "slow"
    SILENT = "silent"
    NO_ANSWERS = "no_answers"
    REFUSED = "refused"


class LinkProxy:
    """Forwards TCP connections to one address.

    Args:
        listen: Address where the proxy listens.
        forward: Address that it connects to.
        replacements: Byte strings that are replaced in both directions by others of
            the same length.

    Attributes:
        mode: What the proxy does now.
    """

    def __init__(
        self, listen: Address, forward: Address, replacements: tuple[bytes, bytes]
    ):
        self.mode = LinkMode.OPEN
        self._listen = listen
        self._forward = forward
        self._replacements = replacements
        self._writers: set[asyncio.StreamWriter] = set()
        # Connections that lose their bytes for good, while new ones work.
        self._silenced: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._serve, self._listen.host, self._listen.port, backlog=512
        )

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def silence_connections(self) -> None:
        """Lose all further bytes of the open connections."""
        self._silenced |= self._writers

    async def _serve(self, reader, writer) -> None:
        if self.mode is LinkMode.REFUSED:
            writer.transport.abort()
            return
        try:
            forward_reader, forward_writer = await asyncio.open_connection(
                *self._forward
            )
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, forward_writer}
        self._writers |= pair
        try:
            await asyncio.gather(
                self._copy(reader, forward_writer, is_answer=False),
                self._copy(forward_reader, writer, is_answer=True),
            )
        except OSError:
            # One side has reset its connection, so the other is reset as well.
            pass
        finally:
            self._writers -= pair
            self._silenced -= pair
            for one in pair:
                one.transport.abort()

    async def _copy(self, reader, writer, *, is_answer: bool) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await self._wait_until_open(is_answer)
            if self.mode is LinkMode.SLOW:
                await asyncio.sleep(DELAY_S)
            if writer in self._silenced:
                continue
            writer.write(data.replace(*self._replacements))
            await writer.drain()
        await self._wait_until_open(is_answer)
        with contextlib.suppress(OSError):
            writer.write_eof()

    async def _wait_until_open(self, is_answer: bool) -> None:
        blocking = {LinkMode.SILENT, LinkMode.NO_ANSWERS if is_answer else None}
        while self.mode in blocking:
            await asyncio.sleep(0.02)
