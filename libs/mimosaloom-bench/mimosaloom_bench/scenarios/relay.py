"""A TCP relay whose open connections can be silenced and answers forged."""

import asyncio
from collections.abc import Callable

__all__ = ["Relay", "start_relay"]

CHUNK_BYTES = 65_536
PORT_TRIES = 1_000


class Relay:
    """Relays connections to a port on loopback.

    Args:
        port: Port to which connections are relayed.

    Attributes:
        silenced: Number of connections that were silenced.
        forge: Returns what is sent in place of an answer.
    """

    def __init__(self, port: int):
        self.silenced = 0
        self.forge: Callable[[bytes], bytes] = bytes
        self._target_port = port
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.Task, asyncio.Event] = {}

    @property
    def port(self) -> int:
        """Port on which the relay listens."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self) -> None:
        """Listen on a free port above the one that is relayed to.

        Raises:
            OSError: If no such port was found.
        """
        for _ in range(PORT_TRIES):
            self._server = await asyncio.start_server(self._relay, "127.0.0.1", 0)
            if self.port > self._target_port:
                return
            self._server.close()
        raise OSError(f"no port above {self._target_port} was found")

    def silence(self) -> None:
        """Keep the open connections open and forward nothing on them any more."""
        for is_silent in self._connections.values():
            self.silenced += not is_silent.is_set()
            is_silent.set()

    async def stop(self) -> None:
        """Close all connections."""
        self._server.close()
        for task in self._connections:
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    def _forge(self, answer: bytes) -> bytes:
        return self.forge(answer)

    async def _relay(self, reader, writer) -> None:
        is_silent = asyncio.Event()
        task = asyncio.current_task()
        self._connections[task] = is_silent
        task.add_done_callback(self._connections.pop)
        try:
            to_reader, to_writer = await asyncio.open_connection(
                "127.0.0.1", self._target_port
            )
        except OSError:
            writer.close()
            return
        copies = [
            asyncio.ensure_future(_copy(reader, to_writer, is_silent, bytes)),
            asyncio.ensure_future(_copy(to_reader, writer, is_silent, self._forge)),
        ]
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            # The relay stops; asyncio would report a cancelled connection as a fault.
            pass
        finally:
            for copy in copies:
                copy.cancel()
            await asyncio.gather(*copies, return_exceptions=True)
            to_writer.close()
            writer.close()


async def _copy(reader, writer, is_silent: asyncio.Event, alter) -> None:
    while chunk := await reader.read(CHUNK_BYTES):
        if is_silent.is_set():
            continue
        writer.write(alter(chunk))
        await writer.drain()
    if is_silent.is_set():
        # The other side must not learn of the end either.
        await asyncio.Event().wait()


async def start_relay(port: int) -> Relay:
    """Return a relay that listens."""
    relay = Relay(port)
    await relay.start()
    return relay
