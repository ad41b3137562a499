"""A sequence of applies around a restored store, found by the state machine."""

from functools import partial

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
