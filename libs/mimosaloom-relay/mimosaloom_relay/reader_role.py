"""Which nodes read the store for others, and whether this node is one of them.

Each node decides alone, from the nodes that it knows. Two nodes that decide differently
cost a few more reads: a node that others ask reads the store, whoever chose it.
"""

import math
from collections import defaultdict
from collections.abc import Callable

from mimosaloom_model import Clock
from mimosaloom_policy import choose_readers

from .peers import PeerRecord

__all__ = ["ReaderRole"]

# Bounds the requests that a reader answers for the others.
MAX_NODES_PER_READER = 32
# With fewer readers, one fault of the network could leave out all of them.
MIN_READERS = 3
# A node that was asked remains a reader for this long. Others ask about once a second.
ASKED_S = 3.0
# A reader that gave no usable answer is asked again after this time.
SKIP_S = 5.0
# A node that finds no usable reader reads the store itself for this long.
FALLBACK_S = 5.0


class ReaderRole:
    """Chooses the readers of each failure domain and tells whether this node reads.

    Args:
        own_name: Name of this node.
        own_domain: Failure domain of this node.
        usable_peers: Returns the records of the nodes that can be asked, of which that
            of this node is ignored.
        clock: Source of time.

    Attributes:
        on_start: Called when this node begins to read because another node asks it, or
            because it finds no reader.
    """

    def __init__(
        self,
        own_name: str,
        own_domain: str,
        usable_peers: Callable[[], list[PeerRecord]],
        *,
        clock: Clock,
    ):
        self.on_start: Callable[[], None] = lambda: None
        self._own_name = own_name
        self._own_domain = own_domain
        self._usable_peers = usable_peers
        self._clock = clock
        self._reads_until_s = 0.0
        self._skipped_until_s: dict[str, float] = {}

    @property
    def is_reader(self) -> bool:
        """Whether this node reads the store at short intervals."""
        if self._clock.monotonic_s() < self._reads_until_s:
            return True
        return self._own_name in self._choose_by_domain()[self._own_domain]

    def count_readers(self) -> int:
        """Return about how many nodes read the store at short intervals."""
        return sum(len(names) for names in self._choose_by_domain().values())

    def find_readers(self) -> list[PeerRecord]:
        """Return the readers to ask, those of the own failure domain first.

        Without those that gave no usable answer, this node may itself be a reader; then
        there is none to ask.
        """
        now_s = self._clock.monotonic_s()
        self._skipped_until_s = {
            name: until_s
            for name, until_s in self._skipped_until_s.items()
            if now_s < until_s
        }
        chosen = self._choose_by_domain(self._skipped_until_s.keys())
        peers = {record.name: record for record in self._usable_peers()}
        own = chosen.pop(self._own_domain)
        if self._own_name in own:
            return []
        others = [name for names in chosen.values() for name in names]
        # The nodes of a failure domain spread over its readers.
        return [peers[name] for name in (*choose_readers(self._own_name, own), *others)]

    def note_asked(self) -> None:
        """Note that another node asks this one for what it has read."""
        self._read_for(ASKED_S)

    def note_failed(self, name: str) -> None:
        """Note that a reader gave no usable answer."""
        self._skipped_until_s[name] = self._clock.monotonic_s() + SKIP_S

    def note_no_reader(self) -> None:
        """Note that no reader gave a usable answer."""
        self._read_for(FALLBACK_S)

    def _read_for(self, time_s: float) -> None:
        now_s = self._clock.monotonic_s()
        was_reading = now_s < self._reads_until_s
        self._reads_until_s = max(self._reads_until_s, now_s + time_s)
        if not was_reading:
            # Also on a reader by its own choice, whose open polls may be older.
            self.on_start()

    def _choose_by_domain(self, skipped=frozenset()) -> dict[str, tuple[str, ...]]:
        """Return the names of the readers of each failure domain."""
        names: dict[str, list[str]] = defaultdict(list)
        names[self._own_domain].append(self._own_name)
        for record in self._usable_peers():
            if record.name != self._own_name and record.name not in skipped:
                names[record.failure_domain].append(record.name)
        least = math.ceil(MIN_READERS / len(names))
        return {
            domain: choose_readers(
                domain,
                members,
                count=max(least, math.ceil(len(members) / MAX_NODES_PER_READER)),
            )
            for domain, members in names.items()
        }
