"""The command that sums the counts of many requests."""

import json

import msgspec
import pytest
from command_line import run_command
from typer.testing import CliRunner

from mimosaloom_cli import ExitCode, account_command
from mimosaloom_cli.account import (
    MAX_LINE_BYTES,
    AccountKey,
    TimeRange,
    read_lines,
    sum_lines,
)
from mimosaloom_cli.account_tables import build_document
from mimosaloom_cli.cli.definition import build_app
from mimosaloom_model import HopCounts, RequestCounts, UpstreamCounts

START_S = 1_800_000_000.0
REQUESTS = (
    RequestCounts(
        "buy", "o-1", "shop", "client", "in_time", "", "", 90, 900, 40, 90, 90, 91
    ),
    RequestCounts("buy", "", "shop", "client", "late", "", "", 4, 1600, 500, 4, 800, 6),
    RequestCounts(
        "buy", "o-1", "shop", "client", "refused", "queue_timeout", "hop", 5, 500, 120
    ),
    RequestCounts(
        "buy",
        "",
        "shop",
        "client",
        "failed",
        "connection_lost",
        "hop",
        1,
        30,
        30,
        1,
        1,
        1,
    ),
    RequestCounts(
        "look", "", "shop", "client", "refused", "overloaded", "origin", 20, 0, 0
    ),
    RequestCounts(
        "price", "", "stock", "target", "in_time", "", "", 90, 300, 9, 90, 0, 90
    ),
)
UPSTREAMS = (
    UpstreamCounts("shop-2", "refused", "queue_timeout", 5),
    UpstreamCounts("shop-1", "failed", "connection_lost", 1),
)
HOPS = (
    HopCounts("buy", "", "answered", "", 97, 970, 80, 4000),
    HopCounts("buy", "", "refused", "queue_timeout", 5, 500, 100, 0),
    HopCounts("buy", "", "failed", "connection_lost", 1, 0, 0, 1000),
)


def build_line(second=0, number=1, node="shop-1", prefix="", **fields):
    """Return a line with counts, written some seconds after the start."""
    message = {
        "timestamp": START_S + second,
        "message_type": "requests_counted",
        "node": node,
        "incarnation": f"{node}-a",
        "number": number,
        "period_ms": 1000,
        "service": "shop",
        "slots": 10,
        "requests": list(REQUESTS),
        "upstreams": list(UPSTREAMS),
        "hops": list(HOPS),
        **fields,
    }
    return prefix + msgspec.json.encode(message).decode()


@pytest.fixture
def write_log(tmp_path):
    """Return a function that writes lines to a new file and returns its path."""
    count = 0

    def write(*lines):
        nonlocal count
        count += 1
        path = tmp_path / f"node-{count}.log"
        path.write_text("\n".join(lines) + "\n", "utf-8")
        return path

    return write


def read_json(*arguments):
    """Run the command and return its JSON document."""
    result = run_command("account", "--json", *arguments)
    assert result.exit_code == ExitCode.OK, result.stderr
    return json.loads(result.stdout)


def find_row(rows, **values):
    """Return the only row with the given values."""
    (row,) = [r for r in rows if all(r[k] == v for k, v in values.items())]
    return row


def test_table_answers_who_waits_who_is_refused_and_where_work_goes(write_log):
    """Guards against a table whose columns don't add up to what was offered."""
    lines = [build_line(second, second + 1) for second in range(3)]
    result = run_command("account", write_log(*lines))
    assert result.exit_code == ExitCode.OK
    rows = [line.split() for line in result.stdout.splitlines()]
    header = next(row for row in rows if row[:2] == ["class", "begun_by"])
    table = {
        tuple(row[:2]): dict(zip(header, row, strict=True))
        for row in rows
        if len(row) == len(header) and row != header
    }
    buy = table["buy", "client"]
    ends = ("in_time", "late", "own_failure", "refused", "failed", "cancelled")
    assert buy["offered"] == "300"
    assert [buy[end] for end in ends] == ["270", "12", "0", "15", "3", "0"]
    assert buy["max_ms"] == "500"
    # 98 attempts a second have run, and 94 requests were served.
    assert buy["hops_for_nothing"] == "12"
    assert table["all", "client"]["offered"] == "360"
    assert table["price", "target"]["in_time"] == "270"
    assert ["refused", "overloaded", "origin", "60"] in rows
    assert ["refused", "queue_timeout", "shop-2", "15"] in rows
    assert ["failed", "connection_lost", "shop-1", "3"] in rows


def test_hops_and_targets(write_log):
    """Guards against wrong shares of targets, and of slots in use."""
    other = build_line(node="shop-2", hops=[HopCounts("buy", "", "answered", "", 309)])
    document = read_json(write_log(build_line(), other))
    hops = find_row(document["hops"], **{"class": "buy"})
    assert (hops["hops"], hops["answered"], hops["refused"]) == (412, 406, 5)
    assert (hops["busy_s"], hops["busy_for_nothing_s"]) == (5.0, 1.0)
    assert hops["max_wait_ms"] == 100
    assert hops["mean_wait_ms"] == round(1470 / 412, 1)
    targets = {row["node"]: row for row in document["targets"]}
    assert targets["shop-1"]["share_of_hops_ratio"] == 0.25
    assert targets["shop-2"]["share_of_hops_ratio"] == 0.75
    assert targets["shop-1"]["slot_use_ratio"] == 0.5
    assert targets["shop-2"]["slot_use_ratio"] == 0.0


@pytest.mark.parametrize("key", list(AccountKey))
def test_each_key_keeps_the_sums(write_log, key):
    """Guards against requests that are left out of a grouped table."""
    path = write_log(build_line(0, 1), build_line(1, 2), build_line(node="shop-2"))
    document = read_json(path, "--by", key)
    rows = [row for row in document["requests"] if row[key] != "all"]
    assert len(rows) > 1
    assert sum(r["offered"] for r in rows if r["begun_by"] == "client") == 3 * 120
    assert sum(row["hops"] for row in document["hops"]) == 3 * 103


def test_several_keys_and_a_time(write_log):
    """Guards against lines outside the given time that are summed."""
    path = write_log(*(build_line(second, second + 1) for second in range(5)))
    document = read_json(path, "--by", "second,class", "--from-s", "1", "--to-s", "3")
    rows = [row for row in document["requests"] if row["class"] == "buy"]
    assert [(row["second"], row["offered"]) for row in rows] == [(1, 100), (2, 100)]
    assert document["lines"]["counted"] == 2
    assert document["lines"]["missing"] == 0


@pytest.mark.parametrize("value", ["", "colour", "class,class", "class,"])
def test_unknown_key_is_a_usage_error(write_log, value):
    """Guards against a mistyped key that gives another table than asked for."""
    result = run_command("account", write_log(build_line()), "--by", value)
    assert result.exit_code == ExitCode.USAGE
    assert "organisation" in result.stderr


UNREADABLE = [
    "no log line",
    '{"torn": ',
    "[" * 5000,
    '{"message_type": 5}',
    '{"message_type": "x\\ud800"}',
    '{"timestamp": 1e400}',
    '{"a": ' * 5000,
    "\x00\udcff".encode("utf-8", "surrogateescape").decode("latin-1"),
    build_line(number=0),
    build_line(requests=[["buy"]]),
    build_line(hops=[["buy", "", "exploded", "", 1]]),
    build_line(hops=[["buy", "", "answered", "", -1]]),
    build_line(upstreams=[["a", "failed", "", 10**400]]),
    build_line(period_ms=None),
    "{" + "x" * 3 * MAX_LINE_BYTES,
]


def test_unreadable_lines_are_counted_and_skipped(write_log):
    """Guards against a traceback, or a silent gap, after a line that was torn."""
    path = write_log(*UNREADABLE, "", build_line())
    document = read_json(path)
    assert document["lines"]["unreadable"] == len(UNREADABLE)
    assert document["lines"]["read"] == len(UNREADABLE) + 1
    assert find_row(document["requests"], **{"class": "buy"})["offered"] == 100
    result = run_command("account", path)
    assert f"{len(UNREADABLE)} lines could not be read" in result.stdout


def test_text_before_a_line_is_ignored(write_log):
    """Guards against logs that another program has prefixed with its own time."""
    document = read_json(write_log(build_line(prefix="  12.345 shop-1 | ")))
    assert find_row(document["requests"], **{"class": "buy"})["offered"] == 100
    assert document["lines"]["unreadable"] == 0


def test_lines_that_are_missing_or_dropped_are_told(write_log):
    """Guards against an operator who takes sums with gaps for whole ones."""
    dropped = json.dumps({"message_type": "hop_refused", "dropped_before": 17})
    numbers = (2, 1, 4, 8, 3)
    lines = [build_line(0, number) for number in numbers]
    path = write_log(*lines, dropped, build_line(0, 4, dropped_before=3))
    document = read_json(path)
    assert document["lines"]["missing"] == 3
    assert document["lines"]["dropped"] == 20
    assert document["lines"]["repeated"] == 1
    assert document["lines"]["counted"] == 5
    text = run_command("account", path).stdout
    assert "3 lines with counts are missing" in text
    assert "20 lines on single requests were left out" in text
    assert "1 lines with counts were given again" in text


def test_file_that_is_named_twice_counts_once(write_log):
    """Guards against doubled sums."""
    path = write_log(build_line(0, 1), build_line(1, 2))
    document = read_json(path, path)
    assert find_row(document["requests"], **{"class": "buy"})["offered"] == 200


@pytest.mark.parametrize("lines", [[], [""], ['{"message_type": "started"}']])
def test_input_without_counts_is_an_error_with_a_fix(write_log, lines):
    """Guards against an empty table that looks like an idle platform."""
    result = run_command("account", write_log(*lines))
    assert result.exit_code == ExitCode.ERROR
    assert "no line has counts. Name logs of nodes" in result.stderr


def test_file_that_cannot_be_read_is_an_error_with_a_fix(tmp_path):
    """Guards against a traceback for a missing file or a directory."""
    for path in (tmp_path, tmp_path / "none"):
        result = run_command("account", path)
        assert result.exit_code == ExitCode.ERROR
        assert f"can't read {path}" in result.stderr


def test_standard_input_is_read_without_a_file():
    """Guards against a command that can't be used behind a pipe."""
    text = build_line() + "\n"
    result = CliRunner().invoke(build_app(), ["account", "--json"], input=text)
    assert result.exit_code == ExitCode.OK
    assert json.loads(result.stdout)["lines"]["counted"] == 1


def test_progress_is_shown_on_stderr_for_long_input(write_log, monkeypatch):
    """Guards against a silent wait, and against progress within a JSON document."""
    path = write_log(*(build_line(second, second + 1) for second in range(50)))
    assert run_command("account", path).stderr == ""
    monkeypatch.setattr(account_command, "MIN_PROGRESS_BYTES", 1000)
    result = run_command("account", path, "--json")
    assert "reading" in result.stderr
    assert json.loads(result.stdout)["lines"]["counted"] == 50


def test_plot_is_written(write_log, tmp_path):
    """Guards against a plot that is not written, also where seconds have no line."""
    path = tmp_path / "account.png"
    log = write_log(build_line(0, 1), build_line(1, 2), build_line(40, 3))
    result = run_command("account", log, "--plot", path)
    assert result.exit_code == ExitCode.OK
    assert path.read_bytes().startswith(b"\x89PNG")
    result = run_command("account", log, "--plot", tmp_path / "none" / "account.png")
    assert result.exit_code == ExitCode.ERROR
    assert "Name a file with an ending such as .png" in result.stderr


def test_names_cannot_move_the_cursor_of_a_terminal(write_log):
    """Guards against escape sequences in a name that reach the terminal."""
    result = run_command("account", write_log(build_line(node="\x1b[2Jx")))
    assert result.exit_code == ExitCode.OK
    assert "\x1b" not in result.stdout


def test_memory_is_bounded_for_any_names(monkeypatch):
    """Guards against an account of a long log that needs memory without a bound."""
    monkeypatch.setattr("mimosaloom_cli.account.MAX_GROUPS", 50)
    monkeypatch.setattr("mimosaloom_cli.account.MAX_SECONDS", 50)
    monkeypatch.setattr("mimosaloom_cli.account.MAX_PROCESSES", 50)
    monkeypatch.setattr("mimosaloom_cli.account.MAX_GAPS", 5)
    lines = [
        build_line(
            number,
            1 + 2 * (number % 20),
            node=f"n-{number}" if number % 2 else "n",
            upstreams=[UpstreamCounts(f"u-{number}", "failed", "x", 1)],
        ).encode()
        for number in range(500)
    ]
    keys = (AccountKey.SECOND, AccountKey.NODE)
    account = sum_lines(lines, keys, TimeRange())
    groups = (account.requests, account.unanswered, account.hops, account.targets)
    assert all(len(found) <= 52 for found in groups)
    assert len(account.seconds) == 50
    counted = account.lines.counted
    rows = build_document(account)["requests"]
    total = find_row(rows, second="all", begun_by="client")
    assert total["offered"] == 120 * counted
    assert sum(sums.ends.total() for sums in account.hops.values()) == 103 * counted


def test_long_line_is_read_in_bounded_pieces(tmp_path):
    """Guards against a file without line ends that fills the memory."""
    path = tmp_path / "long.log"
    path.write_bytes(b"x" * (3 * MAX_LINE_BYTES + 5) + b"\nnext\nlast")
    shown = []
    with path.open("rb") as stream:
        lines = list(read_lines(stream, shown.append))
    assert [len(line) for line in lines] == [MAX_LINE_BYTES, 5, 4]
    assert sum(shown) == path.stat().st_size
