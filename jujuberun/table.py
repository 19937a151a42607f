"""Fixed-size lookup table that maps a flow to its candidate targets."""

from array import array
from collections.abc import Iterable, Sequence

import xxhash

from jujuberun.ids import Address, FlowId, TargetId
from jujuberun.manifest import Manifest, Service, Target

CANDIDATES = 3
# Entries for each target, at least; a prime table size spreads permutations.
_ENTRIES_PER_TARGET = 50
# A backup in another domain is nearly always found within so many entries.
_MAX_PROBES = 64
_PRIMES = (251, 1021, 4093, 16_381, 65_521, 262_139)


class Table:
    """Maglev-style consistent hash table of one service.

    Every process computes the same table from the same targets. A change of
    one target moves about its own share of the entries.
    """

    def __init__(
        self, targets: Sequence[Target], entries: Sequence[int]
    ) -> None:
        self._names = tuple(target.id for target in targets)
        self._domains = tuple(target.domain for target in targets)
        self._entries = array("I", entries)
        self._size = len(entries)

    @classmethod
    def from_targets(cls, targets: Iterable[Target]) -> "Table":
        """Builds the table, weighted by slots.

        Args:
            targets: targets of the service; their order does not matter.
        """
        ordered = sorted(targets, key=lambda target: target.id)
        return cls(ordered, _fill(ordered, _choose_size(len(ordered))))

    def find_candidates(
        self, flow: FlowId, count: int = CANDIDATES
    ) -> tuple[TargetId, ...]:
        """Returns the flow's candidates: home, backup and further ones.

        Args:
            flow: flow id, 8 bytes.
            count: at most so many, up to CANDIDATES.
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
            known = len(chosen) + len(same_domain)
            if len(chosen) == count or known == len(self._names):
                break
        names = self._names
        return tuple(names[i] for i in (chosen + same_domain)[:count])


class TableSet:
    """The tables of one manifest, each built when it is first used."""

    def __init__(
        self, manifest: Manifest, previous: "TableSet | None" = None
    ) -> None:
        """Takes over the tables whose targets did not change."""
        self.manifest = manifest
        self._tables: dict[str, Table] = {}
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
        """Returns the service at an address, or None."""
        return self._services.get(address)

    def find_candidates(
        self, service: Service, flow: FlowId
    ) -> tuple[TargetId, ...]:
        """Returns the candidates of a flow of a service."""
        table = self._tables.get(service.id)
        if table is None:
            table = Table.from_targets(_list_targets(self.manifest, service))
            self._tables[service.id] = table
        return table.find_candidates(flow)


def _list_targets(manifest: Manifest, service: Service) -> list[Target]:
    return [manifest.targets[name] for name in sorted(service.targets)]


def _choose_size(count: int) -> int:
    wanted = count * _ENTRIES_PER_TARGET
    for prime in _PRIMES:
        if prime >= wanted:
            return prime
    return _PRIMES[-1]


def _fill(targets: Sequence[Target], size: int) -> list[int]:
    """Fills the first choices by the permutations of the targets."""
    offsets, skips = [], []
    for target in targets:
        key = target.id.encode()
        offsets.append(xxhash.xxh3_64_intdigest(key, seed=1) % size)
        skips.append(xxhash.xxh3_64_intdigest(key, seed=2) % (size - 1) + 1)
    heaviest = max(target.slots for target in targets)
    shares = [target.slots / heaviest for target in targets]
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
