"""Counts of requests and hops over many requests."""

from datetime import timedelta
from types import SimpleNamespace

import msgspec
import pytest
from eliot import add_destinations, remove_destination

from mimosaloom_model import (
    OTHER,
    ErrorKind,
    HopCounts,
    ManualClock,
    RequestCounts,
    UpstreamCounts,
)
from mimosaloom_relay import DecisionLog, HopContext
from mimosaloom_relay.calls import Progress
from mimosaloom_relay.decision_log import MAX_LINE_BYTES, Importance
from mimosaloom_relay.request_account import (
    MAX_CELLS,
    MAX_ORGANISATIONS,
    AccountLog,
    RequestAccount,
)


@pytest.fixture
def clock():
    """Return a clock that the test advances."""
    return ManualClock()


@pytest.fixture
def account(clock):
    """Return an account without counts."""
    return RequestAccount(clock)


@pytest.fixture
def written():
    """Return the list of the log messages written during the test."""
    messages = []

    def discard(message):
        pass

    # Eliot delivers what it has buffered to the first destination.
    add_destinations(discard)
    remove_destination(discard)
    add_destinations(messages.append)
    yield messages
    remove_destination(messages.append)


@pytest.fixture
def log(clock):
    """Return the decision log."""
    return DecisionLog(clock, lambda reason: None)


def build_log(account, log):
    """Return the writer of the lines of an account."""
    return AccountLog(account, log, "back-1", "abc", "back", lambda: 7)


def build_call(class_name="r-b", service="back", parent=None, objective_s=0.3):
    """Return what the account reads of a request that arrived at 0 s."""
    route = SimpleNamespace(
        request_class=SimpleNamespace(name=class_name), objective_s=objective_s
    )
    return SimpleNamespace(route=route, service=service, parent=parent, start_s=0.0)


def build_progress(*kinds, open_attempts=0, upstream="back-1", first_target_s=None):
    """Return the progress of a request whose attempts ended with the given kinds."""
    progress = Progress()
    progress.kinds = list(kinds)
    progress.attempts = len(kinds) + open_attempts
    progress.last_upstream = upstream if progress.attempts else ""
    progress.first_target_s = first_target_s
    return progress


def build_context(class_name="r-b", organisation=""):
    """Return the context of a hop."""
    return HopContext(
        "id-1",
        "back",
        class_name,
        2,
        True,
        500,
        "front",
        "id-1",
        organisation=organisation,
    )


def read_rows(rows, row_type):
    """Return rows as a reader of the log line decodes them."""
    return msgspec.json.decode(msgspec.json.encode(rows), type=list[row_type])


def take_requests(account):
    """Return the rows of the requests."""
    return read_rows(account.take().requests, RequestCounts)


def count_answer(account, class_name="r-b", organisation="", status="200"):
    """Count a request that was answered."""
    call, progress = build_call(class_name), build_progress("answered")
    account.count_call(call, progress, "answered", status, 0.1, organisation)


@pytest.mark.parametrize(
    ("outcome", "kind", "elapsed_s", "end"),
    [
        ("answered", "200", 0.3, "in_time"),
        ("answered", "404", 0.1, "in_time"),
        ("answered", "200", 0.31, "late"),
        ("answered", "500", 0.1, "own_failure"),
        ("gave_up", "overloaded", 0.1, "refused"),
        ("gave_up", "connection_lost", 0.1, "failed"),
        ("gave_up", "deadline_exceeded", 0.1, "failed"),
        ("cancelled", "", 0.1, "cancelled"),
    ],
)
def test_end_of_a_request(account, outcome, kind, elapsed_s, end):
    """Guards against a late or failed answer that is counted as served."""
    account.count_call(build_call(), build_progress(), outcome, kind, elapsed_s)
    (row,) = take_requests(account)
    assert (row.end, row.count) == (end, 1)
    assert row.elapsed_ms == row.max_elapsed_ms == round(1000 * elapsed_s)


def test_route_without_an_objective_has_no_late_answers(account):
    """Guards against a table that shows all requests of such a route as late."""
    call = build_call(objective_s=0.0)
    account.count_call(call, build_progress("answered"), "answered", "200", 9.0)
    assert take_requests(account)[0].end == "in_time"


def test_place_of_a_refusal(account):
    """Guards against a refusal by a target's node that is blamed on the origin."""
    at_origin, at_hop = build_progress(), build_progress("queue_timeout")
    account.count_call(build_call(), at_origin, "gave_up", "overloaded", 0.0)
    account.count_call(build_call(), at_hop, "gave_up", "queue_timeout", 0.2)
    account.count_early_refusal(ErrorKind.UNKNOWN_ROUTE)
    counted = account.take()
    rows = read_rows(counted.requests, RequestCounts)
    assert {(row.class_name, row.kind, row.place) for row in rows} == {
        ("r-b", "overloaded", "origin"),
        ("r-b", "queue_timeout", "hop"),
        ("", "unknown_route", "origin"),
    }
    assert read_rows(counted.upstreams, UpstreamCounts) == [
        UpstreamCounts("back-1", "refused", "queue_timeout", 1)
    ]


def test_time_and_attempts_before_a_target(account):
    """Guards against refused attempts that are counted as work of a target."""
    first = build_progress("queue_timeout", "answered", first_target_s=0.08)
    account.count_call(build_call(), first, "answered", "200", 0.1)
    second = build_progress("connection_lost", open_attempts=1, first_target_s=0.02)
    second.may_have_run = True
    account.count_call(build_call(), second, "gave_up", "deadline_exceeded", 0.5)
    served, failed = take_requests(account)
    assert (served.reached, served.before_target_ms, served.hops) == (1, 80, 1)
    assert (failed.reached, failed.before_target_ms, failed.hops) == (1, 20, 2)


def test_call_of_a_target_is_told_from_a_request_of_a_client(account):
    """Guards against a request that is counted again for each call made for it."""
    count_answer(account)
    parent = build_context()
    progress = build_progress("answered")
    account.count_call(build_call(parent=parent), progress, "answered", "200", 0.1)
    assert {row.begun_by for row in take_requests(account)} == {"client", "target"}


def test_hops_by_end(account):
    """Guards against work, waits or rejections that the account doesn't show."""
    context = build_context()
    account.count_run(context, 200, "", 0.01, 0.1)
    account.count_run(context, 200, "", 0.03, 0.2)
    account.count_run(context, 500, "", 0.0, 0.1)
    account.count_run(context, None, "target_rejected", 0.0, 0.0)
    account.count_run(context, None, "connection_lost", 0.0, 0.4)
    account.count_run(context, None, "connect_failed", 0.0, 0.0)
    account.count_run(context, None, "", 0.0, 0.3)
    account.count_refused_hop(context, ErrorKind.QUEUE_TIMEOUT, 0.25)
    account.count_cancelled_hop(context, 0.05)
    rows = read_rows(account.take().hops, HopCounts)
    assert rows[0] == HopCounts("r-b", "", "answered", "", 2, 40, 30, 300)
    assert rows[1] == HopCounts("r-b", "", "cancelled", "", 2, 50, 50, 300)
    assert sorted((row.end, row.kind, row.busy_ms) for row in rows[2:]) == [
        ("failed", "connection_lost", 400),
        ("own_failure", "500", 100),
        ("refused", "connect_failed", 0),
        ("refused", "queue_timeout", 0),
        ("rejected", "target_rejected", 0),
    ]


def test_second_that_rolls_over_keeps_each_request_once(account, clock, log, written):
    """Guards against requests that are in two lines, or in none."""
    account_log = build_log(account, log)
    for seconds in (1, 1, 0):
        count_answer(account)
        clock.advance(timedelta(seconds=seconds))
        account_log.write()
        account_log.write()
    assert [m["number"] for m in written] == [1, 2, 3]
    assert [m["period_ms"] for m in written] == [1000, 1000, 0]
    rows = [read_rows(m["requests"], RequestCounts) for m in written]
    assert [row.count for (row,) in rows] == [1, 1, 1]


def test_pause_of_the_process_is_told_by_the_period(account, clock, log, written):
    """Guards against a rate computed over 1 s for counts that took longer."""
    account_log = build_log(account, log)
    count_answer(account)
    clock.advance(timedelta(seconds=7.5))
    account_log.write()
    assert written[0]["period_ms"] == 7500


def test_nothing_is_written_without_traffic(account, clock, log, written):
    """Guards against a line for each idle second, and a period that includes them."""
    account_log = build_log(account, log)
    for _ in range(5):
        clock.advance(timedelta(seconds=1))
        account_log.write()
    assert not written
    count_answer(account)
    clock.advance(timedelta(seconds=1))
    account_log.write()
    assert written[0]["period_ms"] == 1000


def test_more_cells_than_fit_are_summed_by_end(account):
    """Guards against unbounded memory, and against requests that are left out."""
    for number in range(3 * MAX_CELLS):
        count_answer(account, class_name=f"class-{number}")
        count_answer(account, class_name=f"class-{number}", status="503")
    for _ in range(10):
        count_answer(account, class_name="class-0")
    assert len(account._requests) <= MAX_CELLS + 2
    rows = take_requests(account)
    assert next(row.count for row in rows if row.class_name == "class-0") == 11
    for end, count in (("in_time", 3 * MAX_CELLS + 10), ("own_failure", 3 * MAX_CELLS)):
        assert sum(row.count for row in rows if row.end == end) == count
        others = [row for row in rows if (row.class_name, row.end) == (OTHER, end)]
        assert sum(row.elapsed_ms for row in others) >= 100 * MAX_CELLS
        assert max(row.max_elapsed_ms for row in others) == 100
    assert account.take() is None


def test_organisations_are_bounded(account):
    """Guards against one cell for each of very many organisations."""
    for number in range(5 * MAX_ORGANISATIONS):
        count_answer(account, organisation=f"o-{number}")
        account.count_run(build_context(organisation=f"o-{number}"), 200, "", 0, 0)
    counted = account.take()
    rows = read_rows(counted.requests, RequestCounts)
    names = {row.organisation for row in rows}
    assert len(names) <= MAX_ORGANISATIONS + 1
    others = sum(row.count for row in rows if row.organisation == OTHER)
    assert others >= 4 * MAX_ORGANISATIONS
    hops = read_rows(counted.hops, HopCounts)
    assert {row.organisation for row in hops} <= names | {OTHER}
    assert sum(row.count for row in hops) == 5 * MAX_ORGANISATIONS


@pytest.mark.parametrize("length", [1, 20, 250, 5000])
def test_line_stays_within_its_size(account, clock, log, written, length):
    """Guards against a line that is dropped as it is too long, with all its counts."""
    kinds = list(ErrorKind)
    for number in range(400):
        name = f"é{number}" + "x" * length
        call = build_call(name, name)
        kind = kinds[number % len(kinds)].value
        progress = build_progress(kind, upstream=name)
        account.count_call(call, progress, "gave_up", kind, 12345.678, name)
        account.count_run(build_context(name, name), None, kind, 999.0, 999.0)
    clock.advance(timedelta(seconds=1))
    AccountLog(account, log, "n" * 63, "f" * 16, "s" * 63, lambda: 10**6).write()
    (line,) = written
    assert len(msgspec.json.encode(line)) <= MAX_LINE_BYTES
    for field, row_type in (
        ("requests", RequestCounts),
        ("upstreams", UpstreamCounts),
        ("hops", HopCounts),
    ):
        assert sum(row.count for row in read_rows(line[field], row_type)) == 400


def test_counts_wait_while_the_log_has_no_room(account, clock, log, written):
    """Guards against a second of counts that is lost to the rate limit of the log."""
    account_log = build_log(account, log)
    while log.can_write(Importance.CHANGE):
        log.change("started")
    count_answer(account)
    account_log.write_if_room()
    assert written[-1]["message_type"] == "started"
    clock.advance(timedelta(seconds=1))
    count_answer(account)
    account_log.write_if_room()
    assert written[-1]["message_type"] == "requests_counted"
    assert "dropped_before" not in written[-1]
    (row,) = read_rows(written[-1]["requests"], RequestCounts)
    assert (row.count, written[-1]["period_ms"]) == (2, 1000)
