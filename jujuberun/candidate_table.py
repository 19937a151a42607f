"""Maps flows to candidate targets by fixed-size consistent hash tables."""

from array import array
from collections.abc import Iterable, Sequence

import xxhash

from jujuberun.ids import Address, FlowId, TargetId
from jujuberun.manifest import Manifest, Service, Target

MAX_CANDIDATES = 3
_MIN_ENTRIES_PER_TARGET = 50  # tables of the largest size may have fewer
# A backup in another failure domain is nearly always found within this number
# of entries.
_MAX_PROBES = 64
# Primes, so that each target's permutation visits all entries.
_TABLE_SIZES = (251, 1021, 4093, 16_381, 65_521, 262_139)


class CandidateTable:
    """Maglev-style consistent hash table of one service.

    Every process computes the same table from the same targets. Adding or
    removing a target reassigns about that target's share of the entries.
    """

    def __init__(
        self, targets: Sequence[Target], entries: Sequence[int]
    ) -> None:
        self._names = tuple(target.id for target in targets)
        self._domains = tuple(target.domain for target in targets)
        self._entries = array("I", entries)
        self._size = len(entries)

    @classmethod
    def from_targets(cls, targets: Iterable[Target]) -> "CandidateTable":
        """Builds the table; a target gets entries in proportion to its slots.

        Args:
            targets: targets of the service, in any order.
        """
        ordered = sorted(targets, key=lambda target: target.id)
        return cls(ordered, _fill_entries(ordered, _choose_size(len(ordered))))

    def find_candidates(
        self, flow: FlowId, count: int = MAX_CANDIDATES
    ) -> tuple[TargetId, ...]:
        """Returns the flow's candidates: home, backup and further targets.

        The backup is in another failure domain than the home if possible.

        Args:
            flow: flow id, 8 bytes.
            count: maximum number of candidates, at most MAX_CANDIDATES.
        """
        number = int.from_bytes(flow, "big")
        size = self._size
        count = min(count, len(self._names))
        place = number % size
        step = 1 + (number // size) % (size - 1)
        chosen = [self._entries[place]]
        domain = self._domains[chosen[0]]
        same_domain: list[int] = []
        for _ in range(_MAX_PROBES):
            place = (place + step) % size
            index = self._entries[place]
            if index in chosen or index in same_domain:
                continue
            if len(chosen) == 1 and self._domains[index] == domain:
                same_domain.append(index)
            else:
                chosen.append(index)
            found = len(chosen) + len(same_domain)
            if len(chosen) == count or found == len(self._names):
                break
        names = self._names
        return tuple(names[i] for i in (chosen + same_domain)[:count])


class TableSet:
    """Tables of the services of one manifest, each built on first use."""

    def __init__(
        self, manifest: Manifest, previous: "TableSet | None" = None
    ) -> None:
        """Reuses previous tables whose targets did not change.

        Args:
            manifest: manifest of the services.
            previous: tables of the manifest before, or None.
        """
        self.manifest = manifest
        self._tables: dict[str, CandidateTable] = {}
        self._services = {
            service.address: service for service in manifest.services.values()
        }
        if previous is None:
            return
        for name, table in previous._tables.items():
            service = manifest.services.get(name)
            if service is None:
                continue
            old = previous.manifest
            before = _list_targets(old, old.services[name])
            if before == _list_targets(manifest, service):
                self._tables[name] = table

    def find_service(self, address: Address) -> Service | None:
        """Returns the service at the address, or None."""
        return self._services.get(address)

    def find_candidates(
        self, service: Service, flow: FlowId
    ) -> tuple[TargetId, ...]:
        """Returns the candidates of a flow of the service, the home first."""
        table = self._tables.get(service.id)
        if table is None:
            table = CandidateTable.from_targets(
                _list_targets(self.manifest, service)
            )
            self._tables[service.id] = table
        return table.find_candidates(flow)


def _list_targets(manifest: Manifest, service: Service) -> list[Target]:
    return [manifest.targets[name] for name in sorted(service.targets)]


def _choose_size(count: int) -> int:
    wanted = count * _MIN_ENTRIES_PER_TARGET
    for prime in _TABLE_SIZES:
        if prime >= wanted:
            return prime
    return _TABLE_SIZES[-1]


def _fill_entries(targets: Sequence[Target], size: int) -> list[int]:
    """Assigns each entry to a target by the targets' permutations.

    In each round a target takes the next free entry of its own permutation.
    Targets with fewer slots skip rounds in proportion.

    Returns:
        Index of the target of each entry.
    """
    offsets, skips = [], []
    for target in targets:
        key = target.id.encode()
        offsets.append(xxhash.xxh3_64_intdigest(key, seed=1) % size)
        skips.append(xxhash.xxh3_64_intdigest(key, seed=2) % (size - 1) + 1)
    most_slots = max(target.slots for target in targets)
    shares = [target.slots / most_slots for target in targets]
    credits = [0.0] * len(targets)
    entries = [-1] * size
    filled = 0
    while filled < size:
        for index in range(len(targets)):
            credits[index] += shares[index]
            if credits[index] < 1.0 - 1e-9:
                continue
            credits[index] -= 1.0
            place = offsets[index]
            while entries[place] >= 0:
                place = (place + skips[index]) % size
            entries[place] = index
            offsets[index] = (place + skips[index]) % size
            filled += 1
            if filled == size:
                break
    return entries
