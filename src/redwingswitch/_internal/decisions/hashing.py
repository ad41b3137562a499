"""Maglev lookup tables and rendezvous hashing, with the same result on every host."""

from __future__ import annotations

from array import array
from collections.abc import Iterable, Sequence
from functools import lru_cache
from typing import NamedTuple

import xxhash

BUCKETS_PER_SERVER = 100
# Numbers of buckets, all prime. They are far apart because a change of the size remaps nearly every
# bucket.
TABLE_SIZES = (2003, 8209, 32771, 131101, 524309)
MAX_CACHED_TABLES = 256


class MaglevTable(NamedTuple):
    """Maps each bucket to an index into ``servers``; empty if there are no servers."""

    servers: tuple[str, ...]
    buckets: array[int]


def table_size(server_count: int) -> int:
    """Return the number of buckets for ``server_count`` servers."""
    needed = server_count * BUCKETS_PER_SERVER
    return next((size for size in TABLE_SIZES if size >= needed), TABLE_SIZES[-1])


def maglev_table(*, service: str, servers: Sequence[str]) -> MaglevTable:
    """Build the lookup table of a service (Eisenbud et al., Maglev, NSDI 2016, section 3.4).

    The order of ``servers`` does not matter.
    """
    return _cached_table(service, tuple(sorted(servers)))


@lru_cache(maxsize=MAX_CACHED_TABLES)
def _cached_table(service: str, servers: tuple[str, ...]) -> MaglevTable:
    if not servers:
        return MaglevTable(servers=servers, buckets=array("H"))
    size = table_size(len(servers))
    permutations = [_permutation(service, server, size) for server in servers]
    return MaglevTable(servers=servers, buckets=_populate(permutations, size))


def _permutation(service: str, server: str, size: int) -> tuple[int, int]:
    """Return the offset and the skip of a server's preference list."""
    digest = xxhash.xxh3_128_intdigest(f"{service}\0{server}".encode())
    offset = (digest >> 64) % size
    skip = (digest & 0xFFFFFFFFFFFFFFFF) % (size - 1) + 1
    return offset, skip


def _populate(permutations: Sequence[tuple[int, int]], size: int) -> array[int]:
    buckets = [-1] * size
    positions = [offset for offset, _ in permutations]
    filled = 0
    while True:
        for index, (_, skip) in enumerate(permutations):
            position = positions[index]
            while buckets[position] >= 0:
                position = (position + skip) % size
            buckets[position] = index
            positions[index] = (position + skip) % size
            filled += 1
            if filled == size:
                return array("H", buckets)


def rendezvous_rank(key: bytes, names: Iterable[str]) -> list[str]:
    """Sort names by highest random weight for ``key`` (Thaler and Ravishankar 1998), best first."""
    weight = xxhash.xxh3_64_intdigest
    return sorted(names, key=lambda name: (-weight(key + name.encode()), name))
