"""Guards against wrong decisions after loss, duplication, delay or reordering of peer messages."""

from collections import Counter

import pytest

from redwingswitch._internal.models import events, messages
from redwingswitch._internal.models.actions import Drop, DropReason
from redwingswitch._internal.models.identifiers import CallerAddress
from redwingswitch._internal.models.members import HostDigest
from redwingswitch._internal.models.requests import Outcome, RequestHeader
from tests.lib.virtual_fleet import VirtualFleet

CONVERGENCE_LIMIT_MS = 9_000
REQUEST_COUNT = 20
REQUEST_TIMEOUT_MS = 5_000
CALLER = CallerAddress("127.0.0.1", 9)


def no_fault(random, data):
    return [(1, data)]


def message_loss(random, data):
    return [] if random.random() < 0.3 else [(1, data)]


def duplication(random, data):
    return [(1, data), (1, data)]


def delay(random, data):
    return [(1 + random.randrange(400), data)]


def reordering(random, data):
    return [(1 + random.randrange(30), data)]


def delayed_duplicate(random, data):
    return [(1, data), (2_000 + random.randrange(2_000), data)]


def all_faults(random, data):
    copies = random.choice([0, 1, 1, 1, 2, 3])
    return [(1 + random.randrange(400), data) for _ in range(copies)]


FAULTS = [no_fault, message_loss, duplication, delay, reordering, delayed_duplicate, all_faults]
with_each_fault = pytest.mark.parametrize("faults", FAULTS, ids=lambda fault: fault.__name__)


def start_fleet(faults, seed):
    fleet = VirtualFleet(faults=faults, seed=seed)
    fleet.accept(1)
    fleet.run_until(CONVERGENCE_LIMIT_MS, done=lambda: is_in_force(fleet, 1))
    return fleet


def is_in_force(fleet, revision):
    configurations = [host.configuration for host in fleet.hosts.values()]
    return all(
        configuration and configuration.revision >= revision for configuration in configurations
    )


@with_each_fault
@pytest.mark.parametrize("seed", range(5))
def test_a_revision_is_in_force_everywhere_in_time(faults, seed):
    fleet = start_fleet(faults, seed)
    assert is_in_force(fleet, 1)
    fleet.accept(2)
    fleet.run_until(fleet.now_ms + CONVERGENCE_LIMIT_MS, done=lambda: is_in_force(fleet, 2))
    assert is_in_force(fleet, 2)


@with_each_fault
@pytest.mark.parametrize("seed", range(5))
def test_a_non_idempotent_request_is_dispatched_once_at_most(faults, seed):
    fleet = start_fleet(faults, seed)
    for number in range(REQUEST_COUNT):
        header = RequestHeader("job-board", number.to_bytes(16, "big"), False, REQUEST_TIMEOUT_MS)
        # The fabric delivers a copy of the request to each host.
        for name in fleet.hosts:
            fleet.submit(name, events.RequestPartArrived(header, b"body", CALLER))
    fleet.run_until(fleet.now_ms + 3 * REQUEST_TIMEOUT_MS)
    runs = Counter(fleet.dispatched)
    assert set(runs.values()) <= {1}
    # Without faults, some request must run; otherwise the test would check nothing.
    assert runs or faults is not no_fault
    not_run_ids = {a.request_id for a in fleet.answers if a.outcome is Outcome.NOT_RUN}
    assert not not_run_ids & set(runs)


@pytest.mark.parametrize(
    "message",
    [
        messages.Ping(1, (), HostDigest(revision=9)),
        messages.RevisionOffer(9, "digest"),
        messages.RecordBatchAck(1),
        messages.ClaimRequest(bytes(16), 1),
        messages.CancelRequest("job-board", bytes(16)),
    ],
    ids=lambda message: type(message).__name__,
)
def test_a_message_of_an_older_incarnation_is_dropped(message):
    fleet = start_fleet(no_fault, 0)
    fleet.run_until(fleet.now_ms + 5_000)
    host = fleet.hosts["entry-1"]
    event = events.PeerMessageArrived("entry-2", 99, message)
    dropped = [a for a in host.handle(event, fleet.now_ms) if isinstance(a, Drop)]
    assert [drop.reason for drop in dropped] == [DropReason.STALE_INCARNATION]
