from mimosaloom_standins import LogOptions, LogStore


def test_appends_over_the_rate_are_refused_and_the_rate_recovers():
    """Guards against a log stand-in that takes any load and hides a design fault."""
    store = LogStore(LogOptions(appends_per_s=100.0), now_s=0.0)
    burst = [store.append("s", n, now_s=0.0) for n in range(100)]
    assert burst[:25] == list(range(25))
    assert burst[25:] == [None] * 75
    assert store.append("s", 0, now_s=0.01) == 25
    assert store.append("s", 0, now_s=0.01) is None
    taken = [store.append("s", 0, now_s=1 + n / 1000) for n in range(2000)]
    # Two seconds at 100 a second, and the burst.
    assert 200 <= sum(offset is not None for offset in taken) <= 226


def test_expired_records_are_gone_and_offsets_go_on():
    """Guards against a stand-in that keeps all records or reuses their offsets."""
    store = LogStore(LogOptions(retention_s=10.0, appends_per_s=1e9), now_s=0.0)
    for now_s in range(8):
        store.append("s", now_s, now_s=float(now_s))
    page = store.read("s", 0, 100, now_s=12.5)
    assert page.is_gone
    assert page.first_offset == 3
    page = store.read("s", 3, 2, now_s=12.5)
    assert [record["value"] for record in page.records] == [3, 4]
    assert page.next_offset == 5
    assert store.read("s", 8, 10, now_s=99.0).records == []
    assert store.append("s", "new", now_s=99.0) == 8
