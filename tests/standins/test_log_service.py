from mimosaloom_standins import LogOptions, LogStore


def test_appends_over_the_rate_are_refused_and_the_rate_recovers():
    """Guards against a stand-in that accepts appends at any rate.

    A client that appends too often would then pass all tests.
    """
    store = LogStore(LogOptions(appends_per_s=100.0), now_s=0.0)
    burst = [store.append("s", n, now_s=0.0) for n in range(100)]
    assert burst[:25] == list(range(25))
    assert burst[25:] == [None] * 75
    assert store.append("s", 0, now_s=0.01) == 25
    assert store.append("s", 0, now_s=0.01) is None
    offsets = [store.append("s", 0, now_s=1 + n / 1000) for n in range(2000)]
    # 100 appends per second for 2 s, plus a burst of 25 from a full bucket.
    assert 200 <= sum(offset is not None for offset in offsets) <= 226


def test_expired_records_are_gone_and_offsets_go_on():
    """Guards against a stand-in that never expires records or that reuses offsets."""
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
