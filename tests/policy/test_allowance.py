"""Tests of the bound on the retries of one request over all hops.

A random call tree runs over hops that deliver calls and answers late, twice or never.
"""

# ruff: noqa: D102 - the class docstrings describe the methods

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mimosaloom_policy import RetryLedger

MAX_DEPTH = 5


class CopiedAllowance(RetryLedger):
    """Broken: lends the whole balance to each sub-call."""

    def lend(self, call_key, loan_key=""):
        return self.balance(call_key)


class TwiceSettledLoans(RetryLedger):
    """Broken: credits every answer to a loan, not only the first."""

    def give_back(self, call_key, lent, unused, loan_key=""):
        if call_key in self._accounts:
            self._accounts[call_key].tokens += max(0, min(lent, unused))


class TrustedAnswers(RetryLedger):
    """Broken: credits the whole share to an answer that claims more than it."""

    def give_back(self, call_key, lent, unused, loan_key=""):
        super().give_back(call_key, 99, 0, loan_key)
        if call_key in self._accounts:
            self._accounts[call_key].tokens += min(lent, unused)


class ReopenedAccounts(RetryLedger):
    """Broken: gives a late copy of an ended attempt its share again."""

    def open(self, call_key, tokens):
        self._closed_keys.clear()
        super().open(call_key, tokens)


def count_retries(ledger_type, rng, allowance):
    """Run a random call tree over unreliable hops and return its retries."""
    retries = 0
    late = []

    def run(key, tokens, depth):
        nonlocal retries
        ledger = ledgers[depth]
        ledger.open(key, tokens)
        for child in range(rng.randrange(3) if depth < MAX_DEPTH else 0):
            attempt = 0
            while True:
                loan = f"{key}/{child}#{attempt}"
                call(ledger, key, loan, depth)
                if rng.random() < 0.4 or not ledger.spend(key):
                    break
                retries += 1
                attempt += 1
        return ledger.close(key)

    def call(ledger, key, loan, depth):
        lent = ledger.lend(key, loan)
        for _ in range(1 + (rng.random() < 0.2)):
            unused = run(loan, lent, depth + 1)
            unused = rng.choice([unused, unused, unused, 16])
            copies = rng.choice([0, 1, 1, 1, 2])
            answers = [(ledger, key, lent, unused, loan)] * copies
            late.extend(answers)
        while late and rng.random() < 0.7:
            owner, *answer = late.pop(rng.randrange(len(late)))
            owner.give_back(*answer)

    ledgers = [ledger_type() for _ in range(MAX_DEPTH + 1)]
    run("root", allowance, 0)
    return retries


@given(st.integers(0, 2**32), st.integers(0, 16))
def test_retries_of_a_call_tree_stay_within_the_allowance(seed, allowance):
    """Guards against retries that multiply at each hop and prolong an overload."""
    assert count_retries(RetryLedger, random.Random(seed), allowance) <= allowance


@pytest.mark.parametrize(
    "ledger_type",
    [CopiedAllowance, TwiceSettledLoans, TrustedAnswers, ReopenedAccounts],
)
def test_the_check_rejects_broken_ledgers(ledger_type):
    """Verifies that the check rejects a copied or inflated allowance."""
    runs = (count_retries(ledger_type, random.Random(s), 4) for s in range(2000))
    assert any(retries > 4 for retries in runs)


def test_a_loan_without_a_key_is_settled_by_the_amount_lent():
    """Guards against retries gained by a second answer to a loan without a key."""
    ledger = RetryLedger()
    ledger.open("call", 4)
    lent = ledger.lend("call")
    ledger.give_back("call", lent, lent)
    ledger.give_back("call", lent, lent)
    assert ledger.close("call") == 4
