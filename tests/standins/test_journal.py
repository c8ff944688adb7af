from mimosaloom_standins import RunRecord, read_journal
from mimosaloom_standins.record import CallIdentity


def test_journal_holds_what_the_record_holds(tmp_path):
    """Guards against a journal that lacks runs of a killed target.

    The scenarios count runs from the journals. The last line of a journal is incomplete
    if the target was killed while it wrote the line.
    """
    path = tmp_path / "journal"
    record = RunRecord("billing", "billing-1", str(path))
    completed = record.start_run(CallIdentity("r", "c1", 1, "issue-fee", None, "t1"))
    record.start_run(CallIdentity("r", "c2", 2, "issue-fee", None, "t2"))
    record.finish_run(completed, "whole")
    record.add_refused(CallIdentity("r", "c3"))
    with path.open("a") as file:
        file.write('{"run": {"start_s"')
    runs, refused = read_journal(path)
    assert runs == record.read_runs()
    assert [run["end"] for run in runs] == ["whole", "running"]
    assert refused == record.read_refused()
