"""A TCP relay that can silence its open connections and replace answers.

Scenarios place it before a node to inject faults into the network.
"""

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
        silenced_count: Number of connections that were silenced.
        replace_answer: Returns the bytes to send in place of a chunk of an answer.
    """

    def __init__(self, port: int):
        self.silenced_count = 0
        self.replace_answer: Callable[[bytes], bytes] = bytes
        self._target_port = port
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.Task, asyncio.Event] = {}

    @property
    def port(self) -> int:
        """Port on which the relay listens."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self) -> None:
        """Listen on a free port with a higher number than the target port.

        See `steps_faults.RELAY_RECORD_PREFIX` for the reason.

        Raises:
            OSError: If no such port is found in `PORT_TRIES` tries.
        """
        for _ in range(PORT_TRIES):
            self._server = await asyncio.start_server(self._relay, "127.0.0.1", 0)
            if self.port > self._target_port:
                return
            self._server.close()
        raise OSError(f"no free port above {self._target_port} was found")

    def silence(self) -> None:
        """Forward nothing more on the open connections, without closing them."""
        for is_silent in self._connections.values():
            self.silenced_count += not is_silent.is_set()
            is_silent.set()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.close()
        for task in self._connections:
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    def _replace_answer(self, answer: bytes) -> bytes:
        # Looked up for each chunk, so that a later change affects open connections.
        return self.replace_answer(answer)

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
            asyncio.ensure_future(
                _copy(to_reader, writer, is_silent, self._replace_answer)
            ),
        ]
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            # The relay is stopping. asyncio would log the cancellation of a connection
            # as an error.
            pass
        finally:
            for copy in copies:
                copy.cancel()
            await asyncio.gather(*copies, return_exceptions=True)
            to_writer.close()
            writer.close()


async def _copy(reader, writer, is_silent: asyncio.Event, replace) -> None:
    while chunk := await reader.read(CHUNK_BYTES):
        if is_silent.is_set():
            continue
        writer.write(replace(chunk))
        await writer.drain()
    if is_silent.is_set():
        # A silent connection must not signal its end to the other side either.
        await asyncio.Event().wait()


async def start_relay(port: int) -> Relay:
    """Start a relay to a port on loopback."""
    relay = Relay(port)
    await relay.start()
    return relay
