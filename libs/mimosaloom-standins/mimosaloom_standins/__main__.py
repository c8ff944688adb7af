"""Runs a stand-in: `python -m mimosaloom_standins log|target [JSON]`.

The JSON object holds `host` and `port` (0 for a free one) besides the options of the
stand-in. The first line on stdout is a JSON object with `host`, `port` and `pid`.
SIGTERM ends the process after the calls in flight.
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
    """Run the stand-in that the arguments name."""
    parser = argparse.ArgumentParser(prog="mimosaloom_standins")
    parser.add_argument("kind", choices=["log", "target"])
    parser.add_argument("options", nargs="?", default="{}", type=json.loads)
    arguments = parser.parse_args()
    options = dict(arguments.options)
    host = options.pop("host", "127.0.0.1")
    port = options.pop("port", 0)
    run = {"log": _run_log, "target": _run_target}[arguments.kind]
    asyncio.run(run(options, host, port))


async def _run_log(options: dict, host: str, port: int) -> None:
    store = LogStore(LogOptions(**options), time.monotonic())
    server = HTTPServer(build_log_application(store))
    stop = _listen(server, host, port)
    await stop.wait()


async def _run_target(options: dict, host: str, port: int) -> None:
    target = Target(TargetOptions(**options))
    server = HTTPServer(build_target_application(target))
    PeriodicCallback(target.sample_load, 1000 * LOAD_SAMPLE_S).start()
    stop = _listen(server, host, port)
    await stop.wait()
    target.change({"is_draining": True})
    give_up_s = time.monotonic() + DRAIN_TIMEOUT_S
    while target.in_flight and time.monotonic() < give_up_s:
        await asyncio.sleep(DRAIN_CHECK_S)


def _listen(server: HTTPServer, host: str, port: int) -> asyncio.Event:
    sockets = bind_sockets(port, host, backlog=LISTEN_BACKLOG)
    server.add_sockets(sockets)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    # Later collections then skip the objects of the imported modules.
    gc.collect()
    gc.freeze()
    chosen = sockets[0].getsockname()[1]
    print(json.dumps({"host": host, "port": chosen, "pid": os.getpid()}), flush=True)
    return stop


if __name__ == "__main__":
    main()
