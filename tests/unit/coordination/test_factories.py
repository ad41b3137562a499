"""Factories that take plain names instead of a configuration."""

from __future__ import annotations

import random

import pytest

from redwingswitch._internal.configuration.document import text_digest
from redwingswitch.coordination import claims, convergence, membership, models

DOMAINS = {"a": "x", "b": "y", "c": "z"}
CHANGED_DOMAINS = {"a": "x", "b": "y", "d": "z"}


@pytest.mark.parametrize(
    ("hosts", "revision", "sets"),
    [
        pytest.param(DOMAINS, 2, 1, id="same hosts"),
        pytest.param(CHANGED_DOMAINS, 2, 2, id="other hosts"),
        pytest.param(CHANGED_DOMAINS, 1, 1, id="not newer"),
    ],
)
def test_a_change_of_hosts_needs_both_sets(hosts: dict[str, str], revision: int, sets: int) -> None:
    """Guards against two granted claims on one id while the hosts change."""
    host_sets = claims.ClaimHostSets(host="a")
    host_sets.declare(revision=1, hosts=DOMAINS, now_ms=0)
    host_sets.declare(revision=revision, hosts=hosts, now_ms=10)
    assert len(host_sets.witness_sets(b"id")) == sets


def test_a_new_document_is_one_that_the_product_accepts() -> None:
    """Guards against a digest that differs between the library and the load balancer."""
    document = convergence.new_document(revision=3, text="limit = 1")
    assert document["digest"] == text_digest("limit = 1")
    source = random.Random(1)
    host = convergence.RevisionConvergence(host="a", failure_domain="x", random_source=source)
    host.on_store_document(models.StoreDocumentArrived(document, 1), 0)
    assert convergence.heartbeat_digest(host) == models.HostDigest(3, document["digest"])


def test_members_are_known_from_the_start_and_can_be_added() -> None:
    """Guards against repeated incarnations and against listed hosts missing in the view."""
    source = random.Random(1)
    values = [
        membership.new_incarnation(wall_clock_ms=ms, random_source=source) for ms in range(100)
    ]
    assert values == sorted(set(values))
    member = membership.create_membership(
        host="a",
        failure_domain="x",
        incarnation=values[0],
        peers=DOMAINS,
        random_source=source,
        now_ms=0,
    )
    membership.set_peers(member, {**DOMAINS, "d": "z"}, 10)
    assert [m.host for m in member.view().serving()] == ["a", "b", "c", "d"]
