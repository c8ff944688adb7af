"""Indexes over the member table, kept current with each membership update."""

from functools import reduce
from hashlib import blake2b
from operator import xor

from mimosaloom_control import (
    Announce,
    Drain,
    Leave,
    Member,
    MemberTable,
    MemberUpdate,
    MemberView,
    Overlay,
    Status,
    Suspect,
)
from mimosaloom_policy import Candidate, choose_readers

from .link_messages import BUCKET_COUNT

__all__ = ["MemberIndex", "build_member_updates"]

HASH_BYTES = 8
_LIVE = (Status.ALIVE, Status.DRAINING)


class MemberIndex:
    """Indexes members by name, service and failure domain.

    It also maintains the overlay, the graph of neighbours that exchange heartbeats,
    and digests of the members. Members are divided into buckets by the hash of their
    name; nodes compare the digests of buckets to find the members that differ.

    Args:
        name: Name of this node.
        failure_domain: Failure domain of this node.

    Attributes:
        table: Member table from which the indexes are built.
        version: Number of changes of the table so far.
    """

    def __init__(self, name: str, failure_domain: str):
        self.table = MemberTable()
        self.version = 0
        self._name = name
        self._domain = failure_domain
        self._overlay = Overlay([name])
        self._live: dict[str, Member] = {}
        self._dead: set[str] = set()
        self._names_by_domain: dict[str, set[str]] = {}
        self._names_by_service: dict[str, set[str]] = {}
        self._service_of: dict[str, str] = {}
        self._hashes: dict[str, int] = {}
        self._digests = [0] * BUCKET_COUNT
        self._buckets: list[set[str]] = [set() for _ in range(BUCKET_COUNT)]
        # Cached results, each with the version for which it was computed.
        self._readers: tuple[int, tuple[str, ...]] = (-1, ())
        self._neighbors: tuple[int, tuple[str, ...]] = (-1, ())

    @property
    def digest(self) -> int:
        """Digest of all live members."""
        return reduce(xor, self._digests)

    @property
    def digests(self) -> list[int]:
        """Digest of the live members of each bucket."""
        return list(self._digests)

    @property
    def live(self) -> dict[str, Member]:
        """Members that are alive or draining; callers must not modify them."""
        return self._live

    @property
    def dead(self) -> set[str]:
        """Names of members considered dead; callers must not modify them."""
        return self._dead

    def apply(self, update: MemberUpdate, now_s: float) -> bool:
        """Apply a membership update; return whether it changed the table."""
        name = update.name if isinstance(update, Suspect) else update.member.name
        if not self.table.apply(update, now_s):
            return False
        self._update_indexes(name)
        return True

    def prune(self, now_s: float) -> None:
        """Remove members that departed long ago."""
        if self.table.prune(now_s):
            self._dead = {name for name in self._dead if self.table.find(name)}
            for bucket in self._buckets:
                bucket -= {name for name in bucket if not self.table.find(name)}

    def neighbors(self) -> tuple[str, ...]:
        """Return the neighbours of this node in the overlay."""
        if self._neighbors[0] != self.version:
            self._neighbors = self.version, self._overlay.neighbors_of(self._name)
        return self._neighbors[1]

    def is_reader(self) -> bool:
        """Return whether this node reads the log for its failure domain."""
        if self._readers[0] != self.version:
            names = self._names_by_domain.get(self._domain, set()) | {self._name}
            self._readers = self.version, choose_readers(self._domain, names)
        return self._name in self._readers[1]

    def is_snapshot_writer(self) -> bool:
        """Return whether this node writes the snapshots of the configuration."""
        if not self.is_reader() or self._readers[1][0] != self._name:
            return False
        domains = [name for name, members in self._names_by_domain.items() if members]
        chosen = choose_readers("snapshots", {*domains, self._domain}, count=1)
        return chosen == (self._domain,)

    def list_bucket_updates(self, buckets: list[int]) -> list[MemberUpdate]:
        """Return the updates that describe all members in the given buckets."""
        names = [name for number in buckets for name in sorted(self._buckets[number])]
        return [
            update
            for name in names
            for update in build_member_updates(name, self.table.find(name))
        ]

    def candidates(self, service: str) -> list[Candidate]:
        """Return the upstreams of a service for routing.

        If several nodes announce the same upstream, the newest incarnation is used.
        If no member is live, the dead ones are returned: the monitors may be wrong,
        and a call that cannot connect has not run.
        """
        names = self._names_by_service.get(service, set())
        chosen = {n for n in names if n in self._live} or (names & self._dead)
        newest: dict[str, MemberView] = {}
        for name in sorted(chosen):
            view = self.table.find(name)
            known = newest.get(view.member.upstream)
            if known is None or known.incarnation < view.incarnation:
                newest[view.member.upstream] = view
        return [_build_candidate(view) for view in newest.values()]

    def _update_indexes(self, name: str) -> None:
        view = self.table.find(name)
        self.version += 1
        number = _hash_text(name) % BUCKET_COUNT
        self._buckets[number].add(name)
        self._digests[number] ^= self._hashes.pop(name, 0)
        old = self._live.pop(name, None)
        if old is not None:
            self._names_by_domain[old.failure_domain].discard(name)
        self._names_by_service.get(self._service_of.pop(name, ""), set()).discard(name)
        self._dead.discard(name)
        member = view.member
        if member is not None and view.status is not Status.LEFT:
            self._service_of[name] = member.service
            self._names_by_service.setdefault(member.service, set()).add(name)
        if member is not None and view.status in _LIVE:
            self._live[name] = member
            self._names_by_domain.setdefault(member.failure_domain, set()).add(name)
            self._hashes[name] = _hash_view(name, view)
            self._digests[number] ^= self._hashes[name]
            self._overlay.add(name)
            return
        if view.status is Status.DEAD:
            self._dead.add(name)
        if name != self._name:
            self._overlay.remove(name)


def build_member_updates(name: str, view: MemberView | None) -> list[MemberUpdate]:
    """Return the updates from which another node builds this view of a member."""
    if view is None:
        return []
    updates: list[MemberUpdate] = []
    if view.member is not None:
        kind = Drain if view.is_draining else Announce
        kind = Leave if view.has_left else kind
        update_id = f"{name}/{view.incarnation}/{view.sequence}"
        updates.append(kind(id=update_id, member=view.member, sequence=view.sequence))
    updates += [
        Suspect(
            name=name,
            incarnation=view.incarnation,
            sequence=view.sequence,
            monitor=monitor,
        )
        for monitor in sorted(view.suspected_by)
    ]
    return updates


def _build_candidate(view: MemberView) -> Candidate:
    member = view.member
    return Candidate(
        name=member.upstream,
        host=member.host,
        port=member.ingress_port,
        failure_domain=member.failure_domain,
        slots=member.slots,
        max_connections=member.max_connections,
        incarnation=member.incarnation,
        is_draining=view.is_draining,
    )


def _hash_text(text: str) -> int:
    raw = blake2b(text.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(raw, "big")


def _hash_view(name: str, view: MemberView) -> int:
    monitors = ",".join(sorted(view.suspected_by))
    text = f"{name}/{view.incarnation}/{view.sequence}/{view.status}/{monitors}"
    return _hash_text(text)
