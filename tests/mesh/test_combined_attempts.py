from mimosaloom_mesh.retrying import combine_attempts
from mimosaloom_model import Answered, ErrorKind, Failed, Refused


def test_refused_retry_does_not_hide_an_attempt_that_may_have_run():
    """A request whose first attempt ran must not be reported as "not run".

    In the demo under overload, the first attempt of a status inquiry exceeded its
    deadline on the target. The inquiry was answered with the refusal of its retry.
    """
    ran = Failed(ErrorKind.DEADLINE_EXCEEDED)
    refused = Refused(ErrorKind.DEADLINE_TOO_SHORT)
    assert combine_attempts(ran, refused) is ran
    assert combine_attempts(Refused(ErrorKind.NO_UPSTREAM), refused) is refused
    assert combine_attempts(refused, ran) is ran
    assert combine_attempts(ran, Answered(200)) == Answered(200)
