"""Guards the embedding example in README.md, which EXAMPLE repeats."""

import random
from pathlib import Path

import pytest
from mesh.fakes import ANY_PORT, LOOKUP, build_chain_catalog, run_with_timeout
from tornado.web import Application, RequestHandler

from mimosaloom_mesh import (
    FixedDirectory,
    Place,
    Request,
    Transport,
    admit,
    build_caller,
)
from mimosaloom_mesh.scopes import current_scope
from mimosaloom_model import Answered, ErrorKind, SystemClock
from mimosaloom_policy import Candidate

pytestmark = pytest.mark.sockets

EXAMPLE = """
import random

from mimosaloom_mesh import Place, Request, Transport, admit, build_caller
from mimosaloom_model import Answered, SystemClock


async def serve_and_call(application, directory, address):
    transport = Transport()
    caller = build_caller(
        "files",
        "z1",
        directory,
        clock=SystemClock(),
        rng=random.SystemRandom(),
        transport=transport,
    )
    place = Place("files", "z1", "files", "files-0", INCARNATION, slots=16)
    admitted = admit(application, place, caller, transport)
    admitted.listen(address)
    outcome = await caller.call("files", Request("GET", "/7"), class_name="lookup")
    return outcome.body if isinstance(outcome, Answered) else outcome.kind
"""


class _FileHandler(RequestHandler):
    def get(self, number):
        self.write(f"file {number}")


class _FailingHandler(RequestHandler):
    def get(self):
        raise RuntimeError("the file is damaged")


def test_example_is_the_one_in_the_readme():
    """The tested example must be the same text as the printed one."""
    readme = Path(__file__).parents[2] / "README.md"
    assert f"```python{EXAMPLE}```" in readme.read_text(encoding="utf-8")


def test_readme_example_calls_its_own_application():
    """The example must return the answer of the embedded application."""

    async def body():
        catalog = build_chain_catalog(["files"])
        incarnation = "0000000000001-00000001"
        own = Candidate("files-0", "127.0.0.1", 1, "z1", 16, 64, incarnation)
        directory = FixedDirectory(catalog, {"files": [own]})
        names = {"INCARNATION": incarnation}
        exec(compile(EXAMPLE, "README.md", "exec"), names)
        application = Application([(r"/([0-9]+)", _FileHandler)])
        answer = await names["serve_and_call"](application, directory, ANY_PORT)
        assert answer == b"file 7"

    run_with_timeout(body)


def test_admitted_application_answers_callers_in_other_processes():
    """The middleware must check and admit calls and mark its answers like a node."""

    async def body():
        catalog = build_chain_catalog(["files"], retries=0)
        incarnation = "0000000000001-00000001"
        directory = FixedDirectory(catalog)
        transport = Transport(max_clients=8)

        def new_caller(name):
            return build_caller(
                name,
                "z1",
                directory,
                clock=SystemClock(),
                rng=random.Random(name),
                transport=transport,
            )

        application = Application(
            [(r"/([0-9]+)", _FileHandler), (r"/damaged", _FailingHandler)]
        )
        place = Place("files", "z1", "files", "files-0", incarnation, slots=4)
        admitted = admit(application, place, new_caller("files"), transport)
        address = admitted.listen(ANY_PORT)
        served = Candidate(
            "files-0", address.host, address.port, "z1", 4, 64, incarnation
        )
        directory.set_candidates("files", [served])
        caller = new_caller("client")
        whole = await caller.call("files", Request(path="/7"), class_name=LOOKUP)
        assert isinstance(whole, Answered)
        assert (whole.status, whole.body) == (200, b"file 7")
        assert current_scope.get() is None
        failed = await caller.call("files", Request(path="/damaged"), class_name=LOOKUP)
        assert failed.kind is ErrorKind.TARGET_FAILED
        await admitted.stop()
        transport.close()

    run_with_timeout(body)
