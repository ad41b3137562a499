"""A lease is not held past its expiry; a graceful stop ends, without cutting requests off early."""

import random

import pytest

from redwingswitch._internal.decisions.configuration.lease import LeaseHolder
from redwingswitch._internal.decisions.graceful_stop import GracefulStop
from redwingswitch._internal.models.actions import AcquireLease, Log, ReleaseLease, StopCompleted
from redwingswitch._internal.models.events import LeaseGranted

TTL_MS = 6_000


def requested_lease(now_ms=1_000) -> LeaseHolder:
    lease = LeaseHolder(key="key", holder="entry-1", ttl_ms=TTL_MS, random_source=random.Random(1))
    lease.want(now_ms)
    assert lease.on_timer(now_ms) == [AcquireLease("key", "entry-1", TTL_MS, now_ms)]
    return lease


# Each row: case, time of the request, time of the answer, a later time, and whether the lease is
# held at that time.
GRANT_CASES = [
    ("held at once", 1_000, 1_005, 1_005, True),
    ("held until the safety margin", 1_000, 1_005, 6_300, True),
    ("ends before it ends at the store", 1_000, 1_005, 6_400, False),
    ("a late answer does not prolong it", 1_000, 4_000, 6_400, False),
    ("a pause between call and answer", 1_000, 31_000, 31_000, False),
    ("a pause after the answer", 1_000, 1_005, 31_000, False),
]


@pytest.mark.parametrize(
    ("asked_ms", "answered_ms", "now_ms", "held"), [r[1:] for r in GRANT_CASES]
)
def test_lease_counts_from_the_request_on_the_local_clock(asked_ms, answered_ms, now_ms, held):
    lease = requested_lease(asked_ms)
    lease.on_granted(LeaseGranted(1, 7, asked_ms), answered_ms)
    assert lease.holds(now_ms) == held
    assert lease.fencing_version == 7


def test_an_outage_and_a_lapse_are_each_logged_once():
    # While the watch connection stays open, only these two log messages report a store outage.
    lease = requested_lease()
    lease.on_granted(LeaseGranted(1, 7, 1_000), 1_005)
    logs = [a for _ in range(3) for a in lease.on_unavailable(2_000)]
    logs += [a for t in (6_500, 6_600) for a in lease.on_timer(t) if isinstance(a, Log)]
    assert [a.text for a in logs] == [
        "the store did not answer; asking for key again",
        "the lease on key has lapsed",
    ]


def test_late_answer_to_an_older_call_does_not_replace_a_newer_grant():
    lease = requested_lease()
    lease.on_granted(LeaseGranted(2, 9, 3_000), 3_005)
    lease.on_granted(LeaseGranted(1, 7, 1_000), 3_010)
    assert (lease.fencing_version, lease.holds(8_000)) == (9, True)


@pytest.mark.parametrize("answer", ["on_refused", "on_unavailable", None])
def test_lease_request_is_repeated_and_lease_is_lost_when_refused(answer):
    lease = requested_lease()
    lease.on_granted(LeaseGranted(1, 7, 1_000), 1_005)
    renewal_ms = lease.next_deadline_ms()
    assert 2_600 <= renewal_ms <= 3_000
    assert len(lease.on_timer(renewal_ms)) == 1
    if answer is not None:
        getattr(lease, answer)(renewal_ms + 5)
    assert lease.holds(renewal_ms + 5) == (answer != "on_refused")
    deadlines = [lease.next_deadline_ms()]
    while not lease.on_timer(deadlines[-1]):
        deadlines.append(lease.next_deadline_ms())
    assert deadlines[-1] <= renewal_ms + TTL_MS


def test_failures_of_other_calls_never_delay_a_renewal():
    lease = requested_lease()
    lease.on_granted(LeaseGranted(1, 7, 1_000), 1_005)
    asked = []
    for now_ms in range(1_100, 6_000, 100):
        lease.on_unavailable(now_ms)
        asked += lease.on_timer(now_ms)
    assert asked and asked[0].asked_ms <= 3_000


def test_grant_that_arrives_after_a_release_is_released():
    lease = requested_lease()
    assert lease.release(1_010) == []
    assert lease.on_granted(LeaseGranted(1, 7, 1_000), 1_020) == [ReleaseLease("key")]
    assert not lease.holds(1_020) and lease.next_deadline_ms() is None


# Each row: case, progress as (time, requests in progress, hand-over done), completion time, and
# number of requests cut off.
STOP_CASES = [
    ("nothing to do", [(0, 0, True)], 0, 0),
    ("requests end first", [(0, 3, False), (400, 0, False), (900, 0, True)], 900, 0),
    ("hand-over is done first", [(0, 3, True), (700, 0, True)], 700, 0),
    ("grace ends", [(0, 3, True), (900, 2, True), (1_000, 2, True)], 1_000, 2),
    ("grace ends without a last update", [(0, 4, False)], 1_000, 4),
    ("hand-over is never acknowledged", [(0, 0, False)], 1_000, 0),
]


@pytest.mark.parametrize(("progress", "completed_ms", "cut_off"), [row[1:] for row in STOP_CASES])
def test_stop_ends_when_done_or_at_the_grace_deadline(progress, completed_ms, cut_off):
    stop = GracefulStop()
    assert stop.update(5, True, 0) == []
    stop.begin(1_000, 0)
    ends = []
    for now_ms, requests, done in progress:
        ends += [(now_ms, a) for a in stop.update(requests, done, now_ms)]
    deadline_ms = stop.next_deadline_ms()
    ends += [(deadline_ms, a) for a in stop.on_timer(deadline_ms or 0)]
    ends += [(2_000, a) for a in stop.on_timer(2_000) + stop.update(0, True, 2_000)]
    completions = [end for end in ends if isinstance(end[1], StopCompleted)]
    assert completions == [(completed_ms, StopCompleted(cut_off))]
    assert stop.completed and stop.next_deadline_ms() is None


def test_second_stop_request_may_only_shorten_the_grace():
    stop = GracefulStop()
    stop.begin(1_000, 0)
    stop.begin(5_000, 10)
    assert stop.next_deadline_ms() == 1_000
    stop.begin(500, 20)
    assert stop.next_deadline_ms() == 500
