"""Tables must be balanced, and changes must move few buckets of unchanged servers."""

import pytest

from redwingswitch._internal.decisions.hashing import (
    BUCKETS_PER_SERVER,
    maglev_table,
    rendezvous_rank,
    table_size,
)


def names(count):
    return [f"server-{n}" for n in range(count)]


@pytest.mark.parametrize("count", [1, 3, 7, 20, 50])
def test_buckets_are_balanced(count):
    table = maglev_table(service="s", servers=names(count))
    loads = [table.buckets.count(n) for n in range(count)]
    assert len(table.buckets) >= BUCKETS_PER_SERVER * count
    assert max(loads) - min(loads) <= 1


@pytest.mark.parametrize("count", [2, 7, 19])
def test_removal_moves_little_more_than_the_removed_share(count):
    servers = names(count)
    before = maglev_table(service="s", servers=servers)
    after = maglev_table(service="s", servers=servers[:-1])
    moved = sum(
        before.servers[a] != after.servers[b]
        for a, b in zip(before.buckets, after.buckets, strict=True)
    )
    # Maglev also moves some buckets of the remaining servers; its paper accepts a few per cent.
    assert moved <= len(before.buckets) * (1 / count + 0.05)


def test_order_of_servers_does_not_matter_and_no_servers_give_no_buckets():
    assert maglev_table(service="s", servers=names(7)) == maglev_table(
        service="s", servers=names(7)[::-1]
    )
    assert not maglev_table(service="s", servers=[]).buckets
    assert table_size(7) == table_size(20)


def test_rendezvous_keeps_the_order_of_the_remaining_names():
    for key in (b"a", b"b", b"c"):
        ranked = rendezvous_rank(key, names(9))
        rest = [name for name in ranked if name != ranked[0]]
        assert rendezvous_rank(key, reversed(rest)) == rest
    firsts = [rendezvous_rank(bytes([k]), names(4))[0] for k in range(200)]
    assert min(firsts.count(name) for name in names(4)) > 25
