"""Tests of claim cases that the random faults of test_claims_machine.py rarely reach."""

from __future__ import annotations

import random

import pytest

from redwingswitch._internal.decisions.requests.claims import (
    Claimant,
    ClaimHolder,
    ClaimState,
    WitnessRegister,
)
from redwingswitch._internal.decisions.requests.host_sets import DeclaredHostSets, witnesses
from redwingswitch._internal.models.members import (
    HostDigest,
    MembershipView,
    MemberState,
    MemberView,
)
from redwingswitch._internal.models.messages import ClaimDecision, ClaimReply, ClaimRequest
from tests.lib.request_cluster import configuration

ID = bytes(16)
HOSTS = {f"h{i}": "abc"[i % 3] for i in range(5)}
CHANGED_HOSTS = {"h0": "a", "h1": "b", "h2": "c", "h3": "a", "h9": "b"}


def _sets(*revisions: dict[str, str], first: int = 1) -> DeclaredHostSets:
    sets = DeclaredHostSets(host="h0")
    for revision, hosts in enumerate(revisions, start=first):
        sets.apply_configuration(configuration(revision, hosts, []), 0)
    return sets


def _reports(revisions: dict[str, int]) -> MembershipView:
    return MembershipView(
        tuple(
            MemberView(host, "a", 1, MemberState.ALIVE, HostDigest(revision=revision))
            for host, revision in revisions.items()
        )
    )


@pytest.mark.parametrize(
    ("now_ms", "sender", "claimed", "held", "decision"),
    [
        pytest.param(0, "h1", 2, 2, ClaimDecision.ABSTAINS, id="restarted"),
        pytest.param(90_000, "h1", 2, 2, ClaimDecision.GRANTED, id="abstention over"),
        pytest.param(90_000, "h1", 1, 1, ClaimDecision.STALE_HOST_SET, id="older host set"),
        pytest.param(90_000, "h1", 1, 2, ClaimDecision.GRANTED, id="same host set, newer revision"),
        pytest.param(90_000, "h1", 5, 5, ClaimDecision.GRANTED, id="newer host set"),
    ],
)
def test_witness_decides(
    now_ms: int, sender: str, claimed: int, held: int, decision: ClaimDecision
) -> None:
    witness = WitnessRegister(host="h0", abstain_until_ms=90_000)
    request = ClaimRequest(ID, claimed, held, 7)
    assert (
        witness.on_claim(sender, 3, request, _sets(HOSTS, CHANGED_HOSTS), now_ms).decision
        is decision
    )


def test_witness_keeps_its_first_grant_and_the_newest_set() -> None:
    witness = WitnessRegister(host="h0", abstain_until_ms=0)
    sets = _sets(HOSTS)
    first, second = ClaimRequest(ID, 1, 1, 7), ClaimRequest(ID, 1, 1, 8)
    newer, older = ClaimRequest(b"n" * 16, 4, 4, 7), ClaimRequest(b"o" * 16, 1, 1, 7)
    decisions = [
        witness.on_claim("h1", 7, first, sets, 0).decision,
        witness.on_claim("h1", 9, first, sets, 10).decision,  # a refutation raised 7 to 9
        witness.on_claim("h1", 8, second, sets, 20).decision,  # a restarted claimant
        witness.on_claim("h2", 7, newer, sets, 30).decision,
        witness.on_claim("h1", 7, older, sets, 40).decision,
        witness.on_claim("h1", 8, ClaimRequest(ID, 4, 4, 8), sets, 90_000).decision,
    ]
    kinds = ClaimDecision
    expected = [kinds.GRANTED, kinds.GRANTED, kinds.HELD, kinds.GRANTED]
    assert decisions == [*expected, kinds.STALE_HOST_SET, kinds.GRANTED]


def _grant(incarnation: int = 7, revision: int = 1, settled: bool = False) -> ClaimReply:
    return ClaimReply(ID, ClaimDecision.GRANTED, "h0", incarnation, revision, revision, settled)


HELD_BY_OTHER = ClaimReply(ID, ClaimDecision.HELD, "h4", 5)


@pytest.mark.parametrize(
    ("first_revision", "replies", "state"),
    [
        pytest.param(1, [_grant(), _grant()], ClaimState.HELD, id="majority"),
        pytest.param(1, [HELD_BY_OTHER, _grant(), _grant()], ClaimState.HELD, id="minority denies"),
        pytest.param(
            1, [_grant(), HELD_BY_OTHER, HELD_BY_OTHER], ClaimState.DENIED, id="majority denies"
        ),
        pytest.param(
            1, [_grant(6), _grant(6)], ClaimState.PENDING, id="grants for an earlier process"
        ),
        pytest.param(1, [_grant()], ClaimState.PENDING, id="one grant"),
        pytest.param(3, [_grant(), _grant()], ClaimState.PENDING, id="earlier host sets unknown"),
        pytest.param(
            3,
            [_grant(revision=3, settled=True), _grant(revision=3, settled=True)],
            ClaimState.HELD,
            id="settled witnesses",
        ),
        pytest.param(
            3,
            [_grant(revision=2, settled=True), _grant(revision=2, settled=True)],
            ClaimState.PENDING,
            id="witnesses settled on an older set",
        ),
    ],
)
def test_claim_is_decided_by_a_majority(
    first_revision: int, replies: list[ClaimReply], state: ClaimState
) -> None:
    sets = _sets(HOSTS, first=first_revision)
    claimant = Claimant(host="h0", incarnation=7, host_sets=sets, random_source=random.Random(1))
    asked = claimant.begin(ID, 1_000, 0)
    assert asked is not None
    assert [send.host for send in asked] == list(sets.witness_sets(ID)[0])
    for send, reply in zip(asked, replies, strict=False):
        claimant.on_reply(send.host, reply, 10)
    assert claimant.state(ID) is state
    if state is ClaimState.DENIED:
        assert claimant.holder(ID) == ClaimHolder("h4", 5)


def test_no_claim_after_the_deadline() -> None:
    claimant = Claimant(
        host="h0", incarnation=7, host_sets=_sets(HOSTS), random_source=random.Random(1)
    )
    for send in claimant.begin(ID, 1_000, 0) or []:
        assert claimant.on_reply(send.host, _grant(), 1_000) is ClaimState.PENDING


@pytest.mark.parametrize(
    ("reported", "now_ms", "joint"),
    [
        pytest.param(("h1", "h2"), 95_000, True, id="two hosts have not reported"),
        pytest.param(
            ("h1", "h2", "h3"), 89_999, True, id="claims under the old set are still valid"
        ),
        pytest.param(("h1", "h2", "h3"), 90_000, False, id="retention is over"),
    ],
)
def test_joint_phase_ends_after_reports_and_retention(
    reported: tuple[str, ...], now_ms: int, joint: bool
) -> None:
    sets = _sets(HOSTS, CHANGED_HOSTS)
    sets.set_members(_reports(dict.fromkeys(reported, 2) | {"h9": 2}), 0)
    sets.on_timer(now_ms)
    assert len(sets.witness_sets(ID)) == 1 + joint
    assert sets.settled() is not joint


@pytest.mark.parametrize(("hosts", "count"), [(HOSTS, 3), ({"h0": "a", "h1": "a"}, 2)])
def test_witnesses_are_in_distinct_domains(hosts: dict[str, str], count: int) -> None:
    for number in range(50):
        chosen = witnesses(number.to_bytes(16, "big"), tuple(hosts.items()))
        domains = {hosts[host] for host in chosen}
        assert len(chosen) == count
        assert len(domains) == min(count, len(set(hosts.values())))
