"""Guards against commands that report a wrong outcome of a change."""

import asyncio
import json
import threading
import time
from contextlib import contextmanager
from pathlib import Path

import msgspec
import pytest
from cli.fakes import FakeLog
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler
from typer.testing import CliRunner

from mimosaloom_cli import ExitCode, operations
from mimosaloom_cli.cli.definition import build_app
from mimosaloom_control import Replay, encode_snapshot
from mimosaloom_node.log_client import AppendUnknown, NotAppended
from mimosaloom_standins import LogOptions, LogStore, build_log_application

WATER = Path(__file__).parents[2] / "examples" / "water"
URL = "http://127.0.0.1:9"
RESOURCE_COUNT = 25


def run(*arguments, url=URL):
    """Run a command with the URL of the log service."""
    words = [str(argument) for argument in (*arguments, "--log-url", url)]
    return CliRunner().invoke(build_app(), words)


@pytest.fixture
def log(monkeypatch):
    """Return the log in memory that all commands of the test use."""
    log = FakeLog()
    monkeypatch.setattr(operations, "LogClient", log.client)
    return log


@pytest.fixture
def fee_file(log, tmp_path):
    """Apply the water mesh and return a file with the request class `issue-fee`."""
    assert run("apply", "-f", WATER).exit_code == ExitCode.OK
    shown = run("get", "requestclass", "issue-fee", "-o", "json")
    path = tmp_path / "fee.json"
    path.write_text(shown.stdout)
    return path


def set_priority(path, priority):
    """Change the priority in a file with one request class."""
    document = json.loads(path.read_text())
    document["resources"][0]["spec"]["priority"] = priority
    path.write_text(json.dumps(document))


def test_apply_accepts_each_resource_once(log):
    """A second apply of the same files must not create new revisions."""
    first = run("apply", "-f", WATER, "--author", "ana")
    assert first.exit_code == ExitCode.OK
    lines = first.stdout.splitlines()
    assert len(lines) == RESOURCE_COUNT
    assert lines[2] == "Service/billing accepted at offset 2, revision 3"
    records = log.streams["config"]
    assert {record["author"] for record in records} == {"ana"}
    names = [record["name"] for record in records if record["kind"] == "Service"]
    assert names == ["billing", "inspections", "intake", "status"]
    again = run("apply", "-f", WATER)
    assert again.exit_code == ExitCode.OK
    assert "Service/billing unchanged, revision 3" in again.stdout
    assert len(log.streams["config"]) == RESOURCE_COUNT
    assert run("diff", "-f", WATER).stdout == "no difference\n"


def test_change_of_an_outdated_revision_is_a_conflict(log, fee_file):
    """Otherwise, the second of two operators silently undoes the first one's change."""
    outdated = fee_file.read_text()
    set_priority(fee_file, 2)
    assert run("apply", "-f", fee_file).exit_code == ExitCode.OK
    fee_file.write_text(outdated)
    set_priority(fee_file, 3)
    before = len(log.streams["config"])
    assert "conflict: revision 26 is in force, the file has 23" in (
        run("diff", "-f", fee_file).stdout
    )
    result = run("apply", "-f", fee_file)
    assert result.exit_code == ExitCode.CONFLICT
    assert "RequestClass/issue-fee conflict: revision 26 is in force" in result.stderr
    assert "mimosaloom get RequestClass issue-fee -o json" in result.stderr
    assert len(log.streams["config"]) == before


def test_change_that_loses_a_race_is_a_conflict(log, fee_file):
    """Two operators read the same revision; the order in the log decides who wins."""

    def append_competing_change(record):
        log.on_append = lambda record: None
        competing = record | {"id": "other", "spec": record["spec"] | {"priority": 6}}
        log.add("config", competing)

    set_priority(fee_file, 2)
    log.on_append = append_competing_change
    result = run("apply", "-f", fee_file)
    assert result.exit_code == ExitCode.CONFLICT
    assert "conflict: revision 26 is in force, the change expected 23" in result.stderr
    assert '"priority": 6' in run("get", "RequestClass", "-o", "json").stdout


def test_lost_answer_of_an_append_that_took_effect_is_accepted(log, fee_file):
    """The command must read the log again to find the outcome of the append."""

    def lose_answer(record):
        log.add("config", record)
        return AppendUnknown("no answer")

    set_priority(fee_file, 2)
    log.on_append = lose_answer
    result = run("apply", "-f", fee_file)
    assert result.exit_code == ExitCode.OK
    assert result.stdout.endswith("issue-fee accepted at offset 25, revision 26\n")


def test_unknown_outcome_is_named_and_safe_to_repeat(log):
    """A delayed first append and its repetition must result in one change."""
    delayed = []

    def delay_record(record):
        if record["name"] == "billing":
            delayed.append(record)
            return AppendUnknown("no answer")
        return None

    log.on_append = delay_record
    result = run("apply", "-f", WATER)
    assert result.exit_code == ExitCode.OUTCOME_UNKNOWN
    assert "Service/billing outcome unknown, safe to repeat: no ans" in result.stderr
    assert "Service/inspections not sent" in result.stderr
    log.on_append = lambda record: None
    log.add("config", delayed[0])
    result = run("apply", "-f", WATER)
    assert result.exit_code == ExitCode.OK
    assert "Service/billing unchanged, revision 3" in result.stdout


def test_refused_append_and_log_that_is_down_change_nothing(log, fee_file):
    """An outage must not be reported as a conflict or a success."""
    set_priority(fee_file, 2)
    log.on_append = lambda record: NotAppended("the log service answered 503")
    result = run("apply", "-f", fee_file)
    assert result.exit_code == ExitCode.UNAVAILABLE
    assert "issue-fee not changed: the log service answered 503" in result.stderr
    log.is_down = True
    for command in (
        ("apply", "-f", fee_file),
        ("get", "Service"),
        ("diff", "-f", fee_file),
    ):
        result = run(*command)
        assert result.exit_code == ExitCode.UNAVAILABLE
        assert f"Check that {URL} is the log service" in result.stderr


def test_faulty_change_is_not_sent(log, fee_file):
    """Otherwise, a reference to a missing resource is in force on every node."""
    document = json.loads(fee_file.read_text())
    document["resources"][0]["spec"]["path"] = ["intake", "biling"]
    fee_file.write_text(json.dumps(document))
    before = len(log.streams["config"])
    result = run("apply", "-f", fee_file)
    assert result.exit_code == ExitCode.INVALID
    assert "$.resources[0].spec.path[1]: expected the name of a decl" in result.stderr
    result = run("delete", "Service", "billing")
    assert result.exit_code == ExitCode.INVALID
    assert "Upstream/billing-1 in force: $.spec.service: expected" in result.stderr
    assert len(log.streams["config"]) == before


def test_delete_and_get(log, fee_file):
    """Deleting a newer revision than the operator has seen would lose a change."""
    result = run("delete", "Upstream", "billing-3", "--revision", 1)
    assert result.exit_code == ExitCode.CONFLICT
    result = run("delete", "Upstream", "billing-3")
    assert result.stdout == "Upstream/billing-3 deleted at offset 25\n"
    result = run("delete", "Upstream", "billing-3")
    assert result.stdout == "Upstream/billing-3 is not declared\n"
    result = run("get", "upstream", "biling-2")
    assert result.exit_code == ExitCode.ERROR
    assert 'is not declared; did you mean "billing-2"? List' in result.stderr
    header, row = run("get", "Upstream", "billing-2").stdout.splitlines()
    assert header.split()[:3] == ["NAME", "REVISION", "SERVICE"]
    assert row.split() == [
        "billing-2",
        "20",
        "billing",
        "quetzaltenango-2",
        "35",
        "300",
    ]


def test_expired_records_are_read_from_a_snapshot(log, fee_file):
    """Without a snapshot, resources whose records have expired would not be found."""
    replay = Replay()
    for offset, value in enumerate(log.streams["config"]):
        replay.apply(offset, msgspec.json.encode(value))
    log.first_offset = 20
    result = run("get", "Service")
    assert result.exit_code == ExitCode.UNAVAILABLE
    assert "begins at offset 20 and no snapshot reaches it" in result.stderr
    log.add("config-snapshots", msgspec.json.decode(encode_snapshot(replay)))
    assert run("apply", "-f", fee_file).stdout.endswith("unchanged, revision 23\n")


@contextmanager
def serve(application):
    """Serve an application on loopback in a thread and yield its base URL."""
    ports, started, stopped = [], threading.Event(), threading.Event()

    async def run_server():
        server = HTTPServer(application)
        sockets = bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        ports.append(sockets[0].getsockname()[1])
        started.set()
        await asyncio.to_thread(stopped.wait)
        server.stop()
        await server.close_all_connections()

    thread = threading.Thread(target=lambda: asyncio.run(run_server()))
    thread.start()
    try:
        assert started.wait(10)
        yield f"http://127.0.0.1:{ports[0]}"
    finally:
        stopped.set()
        thread.join()


@pytest.mark.sockets
def test_commands_work_over_sockets():
    """The log client must match the HTTP interface of the log service."""
    store = LogStore(LogOptions(lose_answers=1), time.monotonic())
    with serve(build_log_application(store)) as url:
        result = run("apply", "-f", WATER, url=url)
        assert result.exit_code == ExitCode.OK, result.stderr
        assert store.appends == RESOURCE_COUNT + 1
        assert "billing-3" in run("get", "Upstream", url=url).stdout


class SingleRecordLog(RequestHandler):
    """Log with a single record, given as raw JSON."""

    def initialize(self, raw):
        """Set the record."""
        self.raw = raw

    def get(self):
        """Answer with the record at offset 0, or with an empty page after it."""
        start = int(self.get_argument("from"))
        record = b'{"offset": 0, "value": ' + self.raw + b"}" if start == 0 else b""
        self.finish(b'{"records": [%s], "first_offset": 0, "next_offset": 1}' % record)


UNDECODABLE_RECORDS = {"surrogate": b'"\\ud800"', "nesting": b"[" * 9000 + b"]" * 9000}


@pytest.mark.sockets
@pytest.mark.parametrize("name", UNDECODABLE_RECORDS)
def test_record_that_cannot_be_decoded_gives_no_traceback(name):
    """Otherwise, anyone who can append to the log can make all commands crash."""
    handlers = [
        (
            r"/streams/config/records",
            SingleRecordLog,
            {"raw": UNDECODABLE_RECORDS[name]},
        )
    ]
    with serve(Application(handlers, log_function=lambda _: None)) as url:
        result = run("get", "Service", url=url)
    assert isinstance(result.exception, SystemExit | None)
    assert result.exit_code in (ExitCode.OK, ExitCode.UNAVAILABLE)


@pytest.mark.sockets
@pytest.mark.parametrize("name", UNDECODABLE_RECORDS)
def test_record_that_cannot_be_decoded_is_skipped(name):
    """Otherwise, one such record hides all records after it from every reader."""
    handlers = [
        (
            r"/streams/config/records",
            SingleRecordLog,
            {"raw": UNDECODABLE_RECORDS[name]},
        )
    ]
    with serve(Application(handlers, log_function=lambda _: None)) as url:
        result = run("get", "Service", url=url)
    assert result.exit_code == ExitCode.OK, result.stderr
