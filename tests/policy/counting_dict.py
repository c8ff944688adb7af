"""A dictionary that shows whether its user scans it."""


class CountingDict(dict):
    """A dictionary that counts its look-ups and can't be iterated over."""

    lookups = 0

    def get(self, key, default=None):
        """Count and return."""
        self.lookups += 1
        return super().get(key, default)

    def __getitem__(self, key):
        self.lookups += 1
        return super().__getitem__(key)

    def __iter__(self):
        raise AssertionError("scans all entries")

    def values(self):
        """Fail, as all entries would be read."""
        raise AssertionError("scans all entries")

    def items(self):
        """Fail, as all entries would be read."""
        raise AssertionError("scans all entries")
