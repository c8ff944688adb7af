"""Retry allowance of a request: split over its calls, never copied.

Invariant: for one request, the retries spent so far plus the balances of all open
accounts plus the loans in transit never exceed the allowance of the root. Every
method moves retries between these or destroys them; none creates any:

- `lend` moves a share out of the account; the sub-call's node opens its account with
  that share.
- `give_back` settles a loan once and by at most the amount lent. A second answer, an
  answer after `close`, one to an unknown loan and one that claims more than was lent
  add nothing.
- A copy of an attempt that a transport delivered again after the first one ended gets
  an empty account, because the first one has used or returned the share.
"""

from collections import OrderedDict

__all__ = ["Ledger"]

# Attempts whose copies get an empty account: 65 s of calls at 250 calls/s.
MAX_CLOSED_KEYS = 16_384


class _Account:
    __slots__ = ("loans", "tokens", "unnamed")

    def __init__(self, tokens: int):
        self.tokens = tokens
        self.unnamed = 0
        self.loans: dict[str, int] = {}


class Ledger:
    """Accounts of the retries that the calls in progress here may still cause.

    Args:
        max_closed_keys: Ended attempts that are remembered, the newest ones.
    """

    def __init__(self, *, max_closed_keys: int = MAX_CLOSED_KEYS):
        self._accounts: dict[str, _Account] = {}
        self._closed: OrderedDict[str, None] = OrderedDict()
        self._max_closed_keys = max_closed_keys

    def open(self, call_key: str, tokens: int) -> None:
        """Open the account of a call with the retries handed down with it.

        Args:
            call_key: Unique for the attempt, so that a late answer to an earlier
                attempt finds no account.
            tokens: Retries handed down; ignored if this attempt has ended here.

        Raises:
            ValueError: If the call has an account already.
        """
        if call_key in self._accounts:
            raise ValueError(f"call {call_key} already has an account")
        is_copy = call_key in self._closed
        self._accounts[call_key] = _Account(0 if is_copy else max(0, tokens))

    def balance(self, call_key: str) -> int:
        """Return the retries that are left, without those lent."""
        account = self._accounts.get(call_key)
        return account.tokens if account else 0

    def lend(self, call_key: str, loan_key: str = "") -> int:
        """Take a share for a sub-call; what is not given back counts as spent.

        Args:
            call_key: The account.
            loan_key: Unique for the attempt of the sub-call. Without it, loans of
                this account can't be told apart and each must be given back once.

        Returns:
            Retries lent; 0 without an account or if `loan_key` has a loan.
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
        """Return the unused part of a share.

        An answer that claims more than the share is wrong, and nothing tells how
        much was spent, so all of it counts as spent. Only the first answer to a loan
        counts.
        """
        account = self._accounts.get(call_key)
        if account is None:
            return
        if loan_key:
            share = account.loans.get(loan_key, 0)
            # The key stays, at 0, so that it can't be lent to again.
            account.loans[loan_key] = 0
        else:
            share = min(max(0, lent), account.unnamed)
            account.unnamed -= share
        if 0 <= unused <= share:
            account.tokens += unused

    def spend(self, call_key: str) -> bool:
        """Take one retry; False if none is left."""
        account = self._accounts.get(call_key)
        if account is None or account.tokens < 1:
            return False
        account.tokens -= 1
        return True

    def close(self, call_key: str) -> int:
        """Close the account and return the unused retries."""
        account = self._accounts.pop(call_key, None)
        if account is None:
            return 0
        self._closed[call_key] = None
        if len(self._closed) > self._max_closed_keys:
            self._closed.popitem(last=False)
        return account.tokens
