"""Guards against peer messages whose loss, copy, delay or order changes what hosts decide."""

from collections import Counter

import pytest

from redwingswitch._internal.models import events, messages
from redwingswitch._internal.models.actions import Drop, DropReason
from redwingswitch._internal.models.identifiers import CallerAddress
from redwingswitch._internal.models.members import HostDigest
from redwingswitch._internal.models.requests import Outcome, RequestHeader
from tests.lib.virtual_fleet import VirtualFleet

IN_FORCE_MS = 9_000
REQUESTS = 20
REQUEST_MS = 5_000
CALLER = CallerAddress("127.0.0.1", 9)


def delivered(random, data):
    return [(1, data)]


def lost(random, data):
    return [] if random.random() < 0.3 else [(1, data)]


def doubled(random, data):
    return [(1, data), (1, data)]


def late(random, data):
    return [(1 + random.randrange(400), data)]


def reordered(random, data):
    return [(1 + random.randrange(30), data)]


def late_copy(random, data):
    return [(1, data), (2_000 + random.randrange(2_000), data)]


def everything(random, data):
    copies = random.choice([0, 1, 1, 1, 2, 3])
    return [(1 + random.randrange(400), data) for _ in range(copies)]


FAULTS = [delivered, lost, doubled, late, reordered, late_copy, everything]
by_fault = pytest.mark.parametrize("faults", FAULTS, ids=lambda fault: fault.__name__)


def started(faults, seed):
    fleet = VirtualFleet(faults=faults, seed=seed)
    fleet.accept(1)
    fleet.run_until(IN_FORCE_MS, done=lambda: in_force(fleet, 1))
    return fleet


def in_force(fleet, revision):
    held = [host.configuration for host in fleet.hosts.values()]
    return all(configuration and configuration.revision >= revision for configuration in held)


@by_fault
@pytest.mark.parametrize("seed", range(5))
def test_a_revision_is_in_force_everywhere_in_time(faults, seed):
    fleet = started(faults, seed)
    assert in_force(fleet, 1)
    fleet.accept(2)
    fleet.run_until(fleet.now_ms + IN_FORCE_MS, done=lambda: in_force(fleet, 2))
    assert in_force(fleet, 2)


@by_fault
@pytest.mark.parametrize("seed", range(5))
def test_a_non_idempotent_request_is_dispatched_once_at_most(faults, seed):
    fleet = started(faults, seed)
    for number in range(REQUESTS):
        header = RequestHeader("job-board", number.to_bytes(16, "big"), False, REQUEST_MS)
        # The fabric delivers a copy to each host.
        for name in fleet.hosts:
            fleet.submit(name, events.RequestPartArrived(header, b"body", CALLER))
    fleet.run_until(fleet.now_ms + 3 * REQUEST_MS)
    runs = Counter(fleet.dispatched)
    assert set(runs.values()) <= {1}
    # The configuration without faults is a check of the check: something must run at all.
    assert runs or faults is not delivered
    told_not_run = {a.request_id for a in fleet.answers if a.outcome is Outcome.NOT_RUN}
    assert not told_not_run & set(runs)


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
    fleet = started(delivered, 0)
    fleet.run_until(fleet.now_ms + 5_000)
    host = fleet.hosts["entry-1"]
    event = events.PeerMessageArrived("entry-2", 99, message)
    dropped = [a for a in host.handle(event, fleet.now_ms) if isinstance(a, Drop)]
    assert [drop.reason for drop in dropped] == [DropReason.STALE_INCARNATION]
