"""Finds targets whose starts an agent of the version before may confuse."""

from collections.abc import Collection

from jujuberun.frames import make_tag
from jujuberun.ids import PoolId


def find_shared_tags(pools: Collection[PoolId]) -> frozenset[PoolId]:
    """Returns the pools of one address that have a tag in common.

    While the registration of a target that has ended is still listed, its
    address may belong to a target of another pool already. An agent of the
    version before compares nothing but the tag.

    Args:
        pools: pools of the registered targets at the address.
    """
    by_tag: dict[int, set[PoolId]] = {}
    for pool in pools:
        by_tag.setdefault(make_tag(pool), set()).add(pool)
    return frozenset(
        pool for names in by_tag.values() if len(names) > 1 for pool in names
    )
