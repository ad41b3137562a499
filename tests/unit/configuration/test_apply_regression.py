"""Applies around a store that is restored from a snapshot; the first case is from the machine."""

from functools import partial

import pytest

from redwingswitch._internal.configuration.document import CONFIGURATION_KEY, decode_document
from redwingswitch._internal.exceptions import (
    ConfigurationConflictError,
    StoreOutcomeUnknownError,
)
from tests.lib.operator_files import VALID_FILE
from tests.lib.stepped_store import Operator, SteppedFleet, SteppedStore
from tests.unit.configuration.test_apply_machine import ApplyMachine


def test_one_apply_wins_a_revision_when_the_store_is_restored_meanwhile():
    """Guards against two applies that are accepted at one revision.

    The first one has read the store before another apply and a restore of the store.
    """
    machine = ApplyMachine()
    steps = (
        partial(machine.apply_without_faults, port=442),
        machine.update_fleet,
        machine.take_snapshot,
        partial(machine.start_apply, slot=2, port=441),
        partial(machine.advance, slot=2, calls=1, fault=None),
        partial(machine.apply_without_faults, port=441),
        partial(machine.advance, slot=2, calls=1, fault=None),
        machine.update_fleet,
        machine.restore_snapshot,
        partial(machine.advance, slot=2, calls=1, fault=None),
    )
    for step in steps:
        step()
        machine.the_store_and_the_fleet_never_differ_at_one_revision()
        machine.a_refused_apply_never_takes_effect()


class RestoredSite:
    """Ann has read revision 1; Ben's revision 2 is in force as the store returns to revision 1."""

    def __init__(self, *, ben_text, ann_text):
        self.store, self.fleet = SteppedStore(), SteppedFleet()
        self.operator("first", VALID_FILE).finish()
        self.update_fleet()
        self.ann = self.operator("ann", ann_text)
        # All calls up to the write of the file itself: the read, and those that archive the
        # predecessor.
        for _ in range(3):
            self.ann.advance(None)
        snapshot = dict(self.store.entries), self.store.revision
        self.operator("ben", ben_text).finish()
        self.update_fleet()
        self.store.entries, self.store.revision = dict(snapshot[0]), snapshot[1]

    def operator(self, name, text):
        return Operator(name=name, text=text, store=self.store, fleet=self.fleet)

    def document(self):
        return decode_document(self.store.entries[CONFIGURATION_KEY].value)

    def update_fleet(self):
        for host in self.fleet.hosts:
            self.fleet.take(host, self.document())


ANN_TEXT = VALID_FILE.replace("port = 443", "port = 441")
BEN_TEXT = VALID_FILE.replace("port = 443", "port = 442")


@pytest.mark.parametrize("ben_text", [ANN_TEXT, BEN_TEXT])
@pytest.mark.parametrize(
    ("undo_fault", "error", "winner"),
    [
        (None, ConfigurationConflictError, "first"),
        ("down", StoreOutcomeUnknownError, "ann"),
        ("lost_before", StoreOutcomeUnknownError, "ann"),
        ("lost_after", StoreOutcomeUnknownError, "first"),
    ],
)
def test_a_file_that_is_written_to_a_restored_store_is_withdrawn(
    ben_text, undo_fault, error, winner
):
    """Guards against reporting a file as accepted that the hosts will never take."""
    site = RestoredSite(ben_text=ben_text, ann_text=ANN_TEXT)
    site.ann.finish([None, undo_fault])
    assert type(site.ann.error) is error
    assert "revision 2 of apply id ben" in str(site.ann.error)
    assert site.document()["apply_id"] == winner


def test_a_host_of_an_earlier_version_shows_the_conflict_by_its_digest():
    site = RestoredSite(ben_text=BEN_TEXT, ann_text=ANN_TEXT)
    site.fleet.hosts = {host: (r, d, "") for host, (r, d, _) in site.fleet.hosts.items()}
    site.ann.finish()
    assert isinstance(site.ann.error, ConfigurationConflictError)
    assert "with another text" in str(site.ann.error)


def test_a_later_revision_of_the_hosts_withdraws_a_file_too():
    site = RestoredSite(ben_text=BEN_TEXT, ann_text=ANN_TEXT)
    site.fleet.hosts = {host: (5, d, a) for host, (_, d, a) in site.fleet.hosts.items()}
    site.ann.finish()
    assert isinstance(site.ann.error, ConfigurationConflictError)
    assert "entry hosts hold revision 5" in str(site.ann.error)
    assert site.document()["apply_id"] == "first"


def test_a_successor_that_is_in_force_before_the_check_does_not_withdraw_a_file():
    store, fleet = SteppedStore(), SteppedFleet()
    ann = Operator(name="ann", text=ANN_TEXT, store=store, fleet=fleet)
    read_statuses = fleet.read

    async def read_after_a_successor(endpoints):
        Operator(name="ben", text=BEN_TEXT, store=store, fleet=SteppedFleet()).finish()
        for host in fleet.hosts:
            fleet.take(host, decode_document(store.entries[CONFIGURATION_KEY].value))
        return await read_statuses(endpoints)

    # Ann's plan has read the statuses once her write is the next call.
    ann.advance(None)
    fleet.read = read_after_a_successor
    ann.finish()
    assert ann.accepted.document["apply_id"] == "ann"
    assert ann.accepted.superseded_by["apply_id"] == "ben"
