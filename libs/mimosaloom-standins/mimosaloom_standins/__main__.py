"""Runs a stand-in: `python -m mimosaloom_standins log|target [JSON]`.

The JSON object holds the options of the stand-in, and `host` and `port`; port 0 chooses
a free port. The first line on stdout is a JSON object with `host`, `port` and `pid`. On
SIGTERM or SIGINT, a log stops at once. A target drains first: it refuses new calls and
waits for the calls in flight, for at most `DRAIN_TIMEOUT_S`.
"""

import argparse
import asyncio
import gc
import json
import os
import signal
import time

from tornado.httpserver import HTTPServer
from tornado.ioloop import PeriodicCallback
from tornado.netutil import bind_sockets

from .log_service import LogOptions, LogStore, build_log_application
from .target import LOAD_SAMPLE_S, Target, TargetOptions
from .target_server import build_target_application

__all__ = ["main"]

LISTEN_BACKLOG = 1_024
DRAIN_CHECK_S = 0.02
DRAIN_TIMEOUT_S = 30.0


def main() -> None:
    """Run the stand-in that the command-line arguments select."""
    parser = argparse.ArgumentParser(prog="mimosaloom_standins")
    parser.add_argument("kind", choices=["log", "target"])
    parser.add_argument("options", nargs="?", default="{}", type=json.loads)
    arguments = parser.parse_args()
    options = dict(arguments.options)
    host = options.pop("host", "127.0.0.1")
    port = options.pop("port", 0)
    serve = {"log": _serve_log, "target": _serve_target}[arguments.kind]
    asyncio.run(serve(options, host, port))


async def _serve_log(options: dict, host: str, port: int) -> None:
    store = LogStore(LogOptions(**options), time.monotonic())
    server = HTTPServer(build_log_application(store))
    stop_requested = _start_server(server, host, port)
    await stop_requested.wait()


async def _serve_target(options: dict, host: str, port: int) -> None:
    target = Target(TargetOptions(**options))
    server = HTTPServer(build_target_application(target))
    PeriodicCallback(target.sample_load, 1000 * LOAD_SAMPLE_S).start()
    stop_requested = _start_server(server, host, port)
    await stop_requested.wait()
    target.update_options({"is_draining": True})
    drain_deadline_s = time.monotonic() + DRAIN_TIMEOUT_S
    while target.in_flight and time.monotonic() < drain_deadline_s:
        await asyncio.sleep(DRAIN_CHECK_S)


def _start_server(server: HTTPServer, host: str, port: int) -> asyncio.Event:
    sockets = bind_sockets(port, host, backlog=LISTEN_BACKLOG)
    server.add_sockets(sockets)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(signal.SIGINT, stop_requested.set)
    # After the freeze, garbage collections skip the objects of the imported modules.
    gc.collect()
    gc.freeze()
    bound_port = sockets[0].getsockname()[1]
    print(
        json.dumps({"host": host, "port": bound_port, "pid": os.getpid()}), flush=True
    )
    return stop_requested


if __name__ == "__main__":
    main()
