from mimosaloom_bench.latency import RoundResult, compare_paths, new_histogram


def make_result(times_us, cpu_s):
    """Return the result of a round with the given latencies."""
    histogram = new_histogram()
    for time_us in times_us:
        histogram.record_value(time_us)
    return RoundResult(histogram, cpu_s)


def test_added_time_is_the_difference_over_all_rounds():
    """Guards against figures that mix up paths, units or single rounds."""
    direct = [make_result([1000] * 98 + [2000] * 2, 0.05) for _ in range(2)]
    through = [
        make_result([1500] * 100, 0.07),
        make_result([1500] * 90 + [9000] * 10, 0.09),
    ]
    report = compare_paths(direct, through)
    assert report["calls"] == 200
    assert abs(report["added_p50_ms"] - 0.5) < 0.01
    assert abs(report["added_p99_ms"] - 7.0) < 0.02
    first, second = report["round_added_p99_ms"]
    assert abs(first + 0.5) < 0.01
    assert abs(second - 7.0) < 0.02
    assert report["added_cpu_us"] == 300.0
