from mimosaloom_standins import RunRecord, read_journal
from mimosaloom_standins.record import CallMark


def test_journal_holds_what_the_record_holds(tmp_path):
    """Guards against runs of a killed target that are missing from the counts."""
    path = tmp_path / "journal"
    record = RunRecord("billing", "billing-1", str(path))
    ended = record.start(CallMark("r", "c1", 1, "issue-fee", None, "t1"))
    record.start(CallMark("r", "c2", 2, "issue-fee", None, "t2"))
    record.finish(ended, "whole")
    record.refuse(CallMark("r", "c3"))
    with path.open("a") as file:
        file.write('{"run": {"start_s"')
    runs, refused = read_journal(path)
    assert runs == record.read()
    assert [run["end"] for run in runs] == ["whole", "running"]
    assert refused == record.read_refused()
