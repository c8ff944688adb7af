"""Which nodes keep the quotas, as this node knows."""

from collections.abc import Callable
from functools import lru_cache

from mimosaloom_model import Clock
from mimosaloom_policy import RecentMaximum, choose_members

from .peers import PeerRecord

__all__ = ["QuotaView"]

REFRESH_INTERVAL_S = 0.5
# A node that gave no answer is not asked again for this long, if there is another one.
SILENT_S = 1.0


class QuotaView:
    """Members of each slot in each failure domain, and how to reach them.

    Args:
        own_name: Name of this node.
        own_domain: Failure domain of this node.
        records: Returns the records of all known nodes.
        usable_records: Returns those that can be reached and do not stop.
        clock: Source of time.

    Attributes:
        own_name: Name of this node.
        own_domain: Failure domain of this node.
    """

    def __init__(
        self,
        own_name: str,
        own_domain: str,
        records: Callable[[], list[PeerRecord]],
        usable_records: Callable[[], list[PeerRecord]],
        *,
        clock: Clock,
    ):
        self.own_name = own_name
        self.own_domain = own_domain
        self._records = records
        self._usable_records = usable_records
        self._clock = clock
        self._next_refresh_s = -1.0
        self._by_name: dict[str, PeerRecord] = {}
        self._names: dict[str, tuple[str, ...]] = {}
        self._usable: frozenset[str] = frozenset()
        self._silent_until_s: dict[str, float] = {}
        self._holders: dict[tuple[str, int], str] = {}
        self._domains = RecentMaximum()
        self._domain_nodes = RecentMaximum()
        self._members = lru_cache(None)(self._choose_members)

    @property
    def other_domains(self) -> list[str]:
        """Names of the other failure domains."""
        self._refresh_at_times()
        return [domain for domain in self._names if domain != self.own_domain]

    @property
    def domain_share(self) -> float:
        """Share of each quota that belongs to the own failure domain."""
        self._refresh_at_times()
        return 1 / max(1, self._domains.find(self._clock.monotonic_s()))

    def count(self) -> tuple[int, int]:
        """Return the numbers of nodes in the own domain and of domains, as known."""
        self._refresh_at_times()
        return len(self._names[self.own_domain]), len(self._names)

    def largest_domain_nodes(self) -> int:
        """Return the nodes in the own domain, by the node that knows most."""
        self._refresh_at_times()
        return self._domain_nodes.find(self._clock.monotonic_s())

    def note_count(self, domain_nodes: int, domains: int) -> None:
        """Note the numbers that another node of the own domain knows."""
        now_s = self._clock.monotonic_s()
        self._domain_nodes.add(domain_nodes, now_s)
        self._domains.add(domains, now_s)

    def members(self, domain: str, slot: int) -> tuple[str, ...]:
        """Return the members of a slot, the preferred holder first."""
        self._refresh_at_times()
        return self._members(domain, slot)

    def find(self, name: str) -> PeerRecord | None:
        """Return the record of a node; None if it is not known."""
        self._refresh_at_times()
        return self._by_name.get(name)

    def first_usable(self, domain: str, slot: int) -> str:
        """Return the first member that can be reached; empty for none."""
        members = self.members(domain, slot)
        return next((name for name in members if self._is_usable(name)), "")

    def holders(self, domain: str, slot: int) -> list[str]:
        """Return the members to ask, that which was the holder first."""
        members = self.members(domain, slot)
        known = self._holders.get((domain, slot), "")
        return sorted(members, key=lambda n: (not self._is_usable(n), n != known))

    def note_holder(self, domain: str, slot: int, name: str) -> None:
        """Note which node is the holder of a slot."""
        if name and name in self.members(domain, slot):
            self._holders[domain, slot] = name

    def note_silent(self, name: str) -> None:
        """Note that a node gave no usable answer."""
        self._silent_until_s[name] = self._clock.monotonic_s() + SILENT_S

    def _is_usable(self, name: str) -> bool:
        if name == self.own_name:
            return True
        until_s = self._silent_until_s.get(name, 0.0)
        return name in self._usable and self._clock.monotonic_s() >= until_s

    def _choose_members(self, domain: str, slot: int) -> tuple[str, ...]:
        return choose_members(domain, slot, self._names.get(domain, ()))

    def _refresh_at_times(self) -> None:
        if self._clock.monotonic_s() >= self._next_refresh_s:
            self.refresh()

    def refresh(self) -> None:
        """Read the records again; this happens by itself at times."""
        now_s = self._clock.monotonic_s()
        self._next_refresh_s = now_s + REFRESH_INTERVAL_S
        self._by_name = {record.name: record for record in self._records()}
        self._usable = frozenset(record.name for record in self._usable_records())
        names: dict[str, list[str]] = {self.own_domain: [self.own_name]}
        for record in self._by_name.values():
            if record.name != self.own_name:
                names.setdefault(record.failure_domain, []).append(record.name)
        found = {domain: tuple(sorted(listed)) for domain, listed in names.items()}
        if found != self._names:
            self._names = found
            self._members.cache_clear()
        self._silent_until_s = {
            name: until_s
            for name, until_s in self._silent_until_s.items()
            if now_s < until_s and name in self._by_name
        }
        self.note_count(len(found[self.own_domain]), len(found))
