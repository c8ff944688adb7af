import asyncio
import json

import pytest
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from mimosaloom_standins import Target, TargetOptions, build_target_application

pytestmark = pytest.mark.sockets

CONTEXT = json.dumps({"request_id": "r", "call_id": "c/1", "class_name": "fee"})


def listen(application):
    """Serve an application on a free port and return its base URL."""
    sockets = bind_sockets(0, "127.0.0.1")
    HTTPServer(application).add_sockets(sockets)
    return f"http://127.0.0.1:{sockets[0].getsockname()[1]}"


class SilentHop(RequestHandler):
    """Egress that never answers a call."""

    def initialize(self, received, closed, contexts):
        """Set the events that the test waits for and the list of contexts."""
        self.received, self.closed, self.contexts = received, closed, contexts

    async def post(self):
        """Record the context of the call and never answer it."""
        self.contexts.append(self.request.headers["Mimosaloom-Context"])
        self.received.set()
        await self.closed.wait()

    def on_connection_close(self):
        """Record that the caller has closed the connection."""
        self.closed.set()


def test_cancelled_call_ends_its_sub_call():
    """Guards against a stand-in that keeps the next hop busy for a cancelled call."""

    async def scenario():
        received, closed, contexts = asyncio.Event(), asyncio.Event(), []
        hop = {"received": received, "closed": closed, "contexts": contexts}
        egress_url = listen(Application([(r"/b/call", SilentHop, hop)]))
        options = TargetOptions(
            service="a",
            service_time_s=0.0,
            paths={"fee": ["a", "b"]},
            egress_url=egress_url,
        )
        target = Target(options)
        url = listen(build_target_application(target))
        client = CurlAsyncHTTPClient(force_instance=True)
        headers = {"Mimosaloom-Context": CONTEXT}
        call = client.fetch(
            f"{url}/call", method="POST", body="{}", headers=headers, raise_error=False
        )
        await received.wait()
        cancelled = await client.fetch(
            f"{url}/.target/cancel/c/1", method="POST", body=""
        )
        assert json.loads(cancelled.body) == {"was": "running"}
        assert (await call).code == 499
        await closed.wait()
        assert contexts == [CONTEXT]
        assert [run["end"] for run in target.record.read_runs()] == ["cancelled"]
        client.close()

    asyncio.run(asyncio.wait_for(scenario(), 30))
