"""Retry allowance of a request: split over its calls, never copied."""

__all__ = ["Ledger"]


class Ledger:
    """Accounts of the retries that the calls in progress here may still cause."""

    def __init__(self):
        self._tokens: dict[str, int] = {}

    def open(self, call_key: str, tokens: int) -> None:
        """Open the account of a call with the retries handed down with it.

        Raises:
            ValueError: If the call has an account already.
        """
        if call_key in self._tokens:
            raise ValueError(f"call {call_key} already has an account")
        self._tokens[call_key] = tokens

    def lend(self, call_key: str) -> int:
        """Take a share for a sub-call; what is not given back counts as spent."""
        tokens = self._tokens.get(call_key, 0)
        share = (tokens + 1) // 2
        if share:
            self._tokens[call_key] = tokens - share
        return share

    def give_back(self, call_key: str, lent: int, unused: int) -> None:
        """Return the unused part of a share.

        An amount over the share is cut to it, so that a wrong answer can't add
        retries to the request.
        """
        if call_key in self._tokens:
            self._tokens[call_key] += max(0, min(lent, unused))

    def spend(self, call_key: str) -> bool:
        """Take one retry; False if none is left."""
        if self._tokens.get(call_key, 0) < 1:
            return False
        self._tokens[call_key] -= 1
        return True

    def close(self, call_key: str) -> int:
        """Close the account and return the unused retries."""
        return self._tokens.pop(call_key, 0)
