"""Guards against callbacks of the curl client that run after it was closed."""

import asyncio
import contextlib
import logging

from mesh.fakes import run_with_timeout
from tornado.httpclient import HTTPRequest

from mimosaloom_mesh.curl_client import ClosableCurlClient


def test_no_timer_runs_after_the_client_was_closed(caplog):
    """While it closes, libcurl may set a timer, whose callback would find no handle."""

    async def body():
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        for delay_s in (0.0, 0.01, 0.05):
            client = ClosableCurlClient(force_instance=True, max_clients=4)
            calls = [
                asyncio.ensure_future(
                    client.fetch(HTTPRequest(f"http://127.0.0.1:{port}/{number}"))
                )
                for number in range(3)
            ]
            await asyncio.sleep(delay_s)
            client.close()
            await asyncio.sleep(0.05)
            for call in calls:
                call.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await call
        server.close()

    with caplog.at_level(logging.ERROR):
        run_with_timeout(body)
    assert caplog.records == []
