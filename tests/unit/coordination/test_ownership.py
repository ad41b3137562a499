"""Owned records: placement, hand-over and message loss."""

from __future__ import annotations

import random

import pytest

from redwingswitch._internal.models.identifiers import wire_id
from redwingswitch.coordination import models
from redwingswitch.coordination.ownership import KEY_BITS, OwnedRecords

HOSTS = ("a", "b", "c", "d")
KEYS = [random.Random(number).getrandbits(KEY_BITS) for number in range(200)]
NAMESPACE_ID = wire_id("n")


class HostGroup:
    """Four hosts on a virtual clock, with seeded random message loss."""

    def __init__(self, *, loss: float = 0.0, bound: int = 1_000) -> None:
        self.source = random.Random(1)
        self.loss = loss
        self.now_ms = 0
        self.states = dict.fromkeys(HOSTS, models.MemberState.ALIVE)
        self.incarnations = dict.fromkeys(HOSTS, 1 << 16)
        self.hosts = {name: self.new_host(name, bound) for name in HOSTS}
        self.tell_members()

    def new_host(self, host: str, bound: int = 1_000) -> OwnedRecords:
        names = {"host": host, "failure_domain": "x", "namespace": "n"}
        limits = {"bound": bound, "idle_limit_ms": 60_000, "now_ms": self.now_ms}
        return OwnedRecords(**names, **limits, random_source=self.source)

    def tell_members(self) -> None:
        starts = self.incarnations
        states = self.states.items()
        digest = models.HostDigest()
        rows = [models.MemberView(name, "x", starts[name], each, digest) for name, each in states]
        view = models.MembershipView(tuple(rows))
        for name, records in self.hosts.items():
            self.perform(name, records.set_members(view, self.now_ms))

    def perform(self, sender: str, actions: list[models.Action]) -> None:
        for action in actions:
            assert isinstance(action, models.SendToPeer)
            if self.source.random() < self.loss or action.host not in self.hosts:
                continue
            receiver = self.hosts[action.host]
            self.perform(action.host, receiver.on_message(sender, action.message, self.now_ms))

    def run(self, duration_ms: int) -> None:
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += 50
            for name, records in self.hosts.items():
                deadline_ms = records.next_deadline_ms()
                if deadline_ms is not None and deadline_ms <= self.now_ms:
                    self.perform(name, records.on_timer(self.now_ms))

    def fill(self) -> None:
        for value, key in enumerate(KEYS):
            owner = self.hosts["a"].holders(key)[0]
            assert self.hosts[owner].put(key, value, self.now_ms) == value
        self.run(1_000)

    def missing(self, *, position: int = 0) -> int:
        """Return how many keys their owner (position 0) or replica does not know."""
        reader = next(iter(self.hosts.values()))
        holders = [self.hosts[reader.holders(key)[position]] for key in KEYS]
        return sum(holder.get(KEYS[value]) != value for value, holder in enumerate(holders))


def _stop(group: HostGroup) -> None:
    group.perform("b", group.hosts["b"].begin_stop(group.now_ms))
    group.states["b"] = models.MemberState.LEAVING
    group.tell_members()


def _crash(group: HostGroup) -> None:
    del group.hosts["b"]
    group.states["b"] = models.MemberState.DEAD
    group.tell_members()


def _restart(group: HostGroup) -> None:
    group.hosts["b"] = group.new_host("b")
    group.incarnations["b"] += 1 << 16
    group.tell_members()


@pytest.mark.parametrize("loss", [0.0, 0.2])
@pytest.mark.parametrize("change", [_stop, _crash, _restart])
def test_owner_and_replica_know_every_record_after_a_change(change, loss: float) -> None:
    """Guards against the loss of records in a graceful stop, a crash or a restart."""
    group = HostGroup(loss=loss)
    group.fill()
    assert (group.missing(), group.missing(position=1)) == (0, 0)
    change(group)
    group.run(20_000)
    assert (group.missing(), group.missing(position=1)) == (0, 0)


def test_a_stop_ends_only_when_the_hand_over_is_acknowledged() -> None:
    """Guards against an exit before all batches are acknowledged."""
    group = HostGroup()
    group.fill()
    group.loss = 1.0
    _stop(group)
    group.run(5_000)
    assert not group.hosts["b"].hand_over_done()
    group.loss = 0.0
    group.run(5_000)
    assert group.hosts["b"].hand_over_done()


def test_a_full_table_refuses_and_evicts_nothing() -> None:
    """Guards against growth past the bound, and against evicting live records."""
    records = HostGroup(bound=2).hosts["a"]
    assert [records.put(key, 1, 0) for key in KEYS[:3]] == [1, 1, None]
    assert (len(records), records.refused_records) == (2, 1)
    assert [records.get(key) for key in KEYS[:3]] == [1, 1, None]
    with pytest.raises(ValueError, match="32 bits"):
        records.put(KEYS[3], 1 << 32, 0)


@pytest.mark.parametrize(
    ("from_owner", "kept"),
    [pytest.param(True, 7, id="the owner's value"), pytest.param(False, 5, id="the local value")],
)
def test_a_different_value_counts_only_from_the_owner(from_owner: bool, kept: int) -> None:
    """Guards against a former holder that overwrites the value in force."""
    group = HostGroup()
    key = KEYS[0]
    owner, replica = group.hosts["a"].holders(key)
    other = next(name for name in HOSTS if name not in (owner, replica))
    group.hosts[replica].put(key, 5, 0)
    records = (models.RecordGroup(7, key.to_bytes(KEY_BITS // 8, "big")),)
    batch = models.RecordBatch(NAMESPACE_ID, 1, models.BatchPurpose.REPLICA, records)
    sender = owner if from_owner else other
    answers = group.hosts[replica].on_message(sender, batch, 0)
    assert answers == [models.SendToPeer(sender, models.RecordBatchAck(1))]
    assert group.hosts[replica].get(key) == kept


def test_an_idle_record_expires_within_two_idle_limits() -> None:
    """Guards against records that never expire."""
    group = HostGroup()
    group.fill()
    group.run(125_000)
    assert [len(records) for records in group.hosts.values()] == [0] * len(HOSTS)
