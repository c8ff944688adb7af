"""A TCP relay that injects faults into connections between two nodes."""

import asyncio
from enum import StrEnum

__all__ = ["Fault", "Relay"]

CHUNK_BYTES = 65_536


class Fault(StrEnum):
    """A fault that the relay injects into a connection."""

    NONE = "none"
    DROP_REQUEST = "drop_request"
    DROP_ANSWER = "drop_answer"
    CUT_ANSWER = "cut_answer"
    CLOSE_BEFORE_ANSWER = "close_before_answer"


class Relay:
    """Relays connections to a port and injects the faults in `faults` in order.

    A connection takes the next fault when the client sends data, so that faults also
    affect reused connections. It keeps the fault until it closes.
    """

    def __init__(self, port):
        self.faults = []
        self.connections = 0
        self._target_port = port
        self._server = None
        self._tasks = set()

    async def start(self):
        """Start listening and return the port."""
        self._server = await asyncio.start_server(self._relay, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Close all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _relay(self, reader, writer):
        self.connections += 1
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        upstream = await asyncio.open_connection("127.0.0.1", self._target_port)
        state = {"fault": Fault.NONE}
        to_target = asyncio.ensure_future(
            self._forward_request(reader, upstream[1], state)
        )
        to_client = asyncio.ensure_future(
            self._forward_answer(upstream[0], writer, state)
        )
        try:
            await asyncio.wait(
                {to_target, to_client}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            to_target.cancel()
            to_client.cancel()
            upstream[1].close()
            writer.close()

    async def _forward_request(self, reader, writer, state):
        while chunk := await reader.read(CHUNK_BYTES):
            if self.faults and state["fault"] is Fault.NONE:
                state["fault"] = self.faults.pop(0)
            if state["fault"] is not Fault.DROP_REQUEST:
                writer.write(chunk)

    async def _forward_answer(self, reader, writer, state):
        while chunk := await reader.read(CHUNK_BYTES):
            match state["fault"]:
                case Fault.NONE:
                    writer.write(chunk)
                case Fault.CUT_ANSWER:
                    writer.write(chunk[:-1])
                    await writer.drain()
                    return
                case Fault.CLOSE_BEFORE_ANSWER:
                    return
