"""Retry allowance of a request: split among its calls, never duplicated.

The retry allowance bounds the retries of a request over all hops. Each call has an
account with its part of the allowance. A call lends a share of its account to each
sub-call (a loan), and the answer of the sub-call returns the unused retries.

Invariant: for one request, the retries spent so far plus the balances of all open
accounts plus the loans in transit never exceed the allowance of the root call. Each
method moves retries between these or destroys them; none creates any:

- `lend` moves a share out of the account. The node that runs the sub-call opens an
  account with that share.
- `give_back` settles a loan once and by at most the amount lent. A second answer, an
  answer after `close`, an answer to an unknown loan and an answer that claims more
  than was lent add nothing.
- A transport may deliver an attempt again after its first copy has ended. The late
  copy gets an empty account, because the first copy has used or returned the share.
"""

from collections import OrderedDict

__all__ = ["RetryLedger"]

# Number of ended attempts whose late copies are recognised: 65 s of calls at
# 250 calls/s.
MAX_CLOSED_KEYS = 16_384


class _Account:
    """Retries of one call.

    Attributes:
        tokens: Retries that are left, without those lent.
        loans: Retries of each loan by loan key; 0 once the loan is settled.
        unnamed: Sum of the open loans without a key.
    """

    __slots__ = ("loans", "tokens", "unnamed")

    def __init__(self, tokens: int):
        self.tokens = tokens
        self.unnamed = 0
        self.loans: dict[str, int] = {}


class RetryLedger:
    """Retry accounts of the calls in progress on this node.

    Args:
        max_closed_keys: Number of ended attempts to remember; the newest are kept.
    """

    def __init__(self, *, max_closed_keys: int = MAX_CLOSED_KEYS):
        self._accounts: dict[str, _Account] = {}
        self._closed_keys: OrderedDict[str, None] = OrderedDict()
        self._max_closed_keys = max_closed_keys

    def open(self, call_key: str, tokens: int) -> None:
        """Open the account of a call with the retries that its caller lent to it.

        Args:
            call_key: Key of the call, unique per attempt, so that a late answer to an
                earlier attempt finds no account.
            tokens: Retries lent to the call; ignored if this attempt has already ended
                on this node.

        Raises:
            ValueError: If the call already has an account.
        """
        if call_key in self._accounts:
            raise ValueError(
                f"call {call_key} already has a retry account; close it first"
            )
        is_late_copy = call_key in self._closed_keys
        self._accounts[call_key] = _Account(0 if is_late_copy else max(0, tokens))

    def balance(self, call_key: str) -> int:
        """Return the retries that are left, without those lent; 0 if unknown."""
        account = self._accounts.get(call_key)
        return account.tokens if account else 0

    def lend(self, call_key: str, loan_key: str = "") -> int:
        """Move half of the balance, rounded up, into a loan for a sub-call.

        Retries that are not given back count as spent.

        Args:
            call_key: Key of the account.
            loan_key: Key of the loan, unique per attempt of the sub-call. Loans
                without a key can't be distinguished, so the caller must give each of
                them back at most once.

        Returns:
            Retries lent; 0 if there is no account or `loan_key` was used before.
        """
        account = self._accounts.get(call_key)
        if account is None or loan_key in account.loans:
            return 0
        share = (account.tokens + 1) // 2
        account.tokens -= share
        if loan_key:
            account.loans[loan_key] = share
        else:
            account.unnamed += share
        return share

    def give_back(
        self, call_key: str, lent: int, unused: int, loan_key: str = ""
    ) -> None:
        """Return the unused retries of a loan to the account.

        Only the first answer to a loan counts. An answer that claims more than the
        share that was lent is wrong, and the number of spent retries is unknown, so
        the whole share counts as spent.

        Args:
            call_key: Key of the account.
            lent: Retries lent; used only for a loan without a key.
            unused: Retries that the sub-call did not use.
            loan_key: Key of the loan.
        """
        account = self._accounts.get(call_key)
        if account is None:
            return
        if loan_key:
            share = account.loans.get(loan_key, 0)
            # The key stays with 0 retries, so that it can't be used for another loan.
            account.loans[loan_key] = 0
        else:
            share = min(max(0, lent), account.unnamed)
            account.unnamed -= share
        if 0 <= unused <= share:
            account.tokens += unused

    def spend(self, call_key: str) -> bool:
        """Spend one retry; return False if none is left."""
        account = self._accounts.get(call_key)
        if account is None or account.tokens < 1:
            return False
        account.tokens -= 1
        return True

    def close(self, call_key: str) -> int:
        """Close the account and return its unused retries."""
        account = self._accounts.pop(call_key, None)
        if account is None:
            return 0
        self._closed_keys[call_key] = None
        if len(self._closed_keys) > self._max_closed_keys:
            self._closed_keys.popitem(last=False)
        return account.tokens
