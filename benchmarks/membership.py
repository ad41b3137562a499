"""Control traffic of membership, time to detect a crash, and false suspicions."""

from __future__ import annotations

import statistics
from collections import Counter
from typing import NamedTuple

from benchmarks.tables import Table
from redwingswitch._internal.models.members import (
    HostDigest,
    MemberState,
    NeededRevision,
    WaitEstimate,
)
from redwingswitch._internal.models.messages import Ack, Ping, PingRequest
from redwingswitch._internal.network.codec import encode_message
from tests.lib.cluster import Cluster, Link, document

COMMAND = "python -m benchmarks.run_all membership"
SEED = 20
DOMAINS = {7: 3, 9: 4, 30: 5, 90: 5, 270: 5}
WARM_UP_MS = 5_000
WARM_UP_ROUNDS = 3
MEASURED_MS = 5_000
DETECTION_SEEDS = {7: 30, 9: 30, 30: 10, 90: 3}
DETECTION_LIMIT_MS = 20_000
LOSSES = (0.0, 0.01, 0.05)
LOSS_RUN_DURATION_MS = 600_000
# A host of a medium deployment: four services with a queue, two with displaced buckets.
DIGEST = HostDigest(
    revision=890,
    revision_digest="0123456789abcdef",
    needed_revisions=(NeededRevision(2_058_209_010, 889), NeededRevision(1_058_209_010, 888)),
    wait_estimates=tuple(WaitEstimate(3_000_000_000 + n, 40 + n) for n in range(4)),
    ejected_servers=(2_058_209_010,),
)


class Traffic(NamedTuple):
    """Bytes per second that one host sends, on average over the hosts."""

    near: float
    far: float
    messages: float


def start_cluster(hosts: int, *, seed: int, link: Link | None = None) -> Cluster:
    """Start all hosts at once, spread over the failure domains."""
    domains = DOMAINS[hosts]
    names = {f"entry-{n}": f"domain-{n % domains}" for n in range(hosts)}
    cluster = Cluster(hosts=names, seed=seed, link=link)
    cluster.accept(document(DIGEST.revision, digest=DIGEST.revision_digest))
    for name in names:
        cluster.start(name)
    cluster.run_ms(WARM_UP_MS)
    for host in cluster.hosts.values():
        host.membership.set_digest(DIGEST)
    return cluster


def run() -> list[Table]:
    """Return the tables of this module."""
    return [_traffic_table(), _detection_table(), _suspicion_table()]


def _traffic_table() -> Table:
    rows = []
    totals = {}
    for hosts in DOMAINS:
        cluster = start_cluster(hosts, seed=SEED)
        started = _measure_traffic(cluster)
        for _ in range(WARM_UP_ROUNDS):
            _empty_update_queues(cluster)
            cluster.run_ms(WARM_UP_MS)
        _empty_update_queues(cluster)
        steady = _measure_traffic(cluster)
        totals[hosts] = steady.near + steady.far
        rows.append(_traffic_row(hosts, started, steady))
    slope = statistics.linear_regression(list(totals), list(totals.values())).slope
    conclusion = (
        f"Steady traffic grows by {slope:.2f} B/s for each further member over these sizes, mostly "
        "at 270 hosts, where introductions of the mass start are still passed on. Messages are "
        "full only while many introductions, deaths or refutations are passed on. The target is "
        "under 4 KB/s for all control traffic of a host."
    )
    columns = (
        "Hosts",
        "Failure domains",
        "Messages/s",
        "B/s steady",
        "B/s after a mass start",
        "B/s to a near member",
        "B/s to a far member",
    )
    return Table(
        "membership-traffic",
        "Bytes per second that one host sends for membership",
        COMMAND,
        SEED,
        columns,
        tuple(rows),
        conclusion,
    )


def _traffic_row(hosts: int, started: Traffic, steady: Traffic) -> tuple[str, ...]:
    domains = DOMAINS[hosts]
    near_members = hosts / domains - 1
    return (
        str(hosts),
        str(domains),
        f"{steady.messages:.1f}",
        f"{steady.near + steady.far:.0f}",
        f"{started.near + started.far:.0f}",
        f"{steady.near / near_members:.1f}",
        f"{steady.far / (hosts - 1 - near_members):.1f}",
    )


def _measure_traffic(cluster: Cluster) -> Traffic:
    sent: Counter[str] = Counter()

    def count(host, target, incarnation, message) -> None:
        if not isinstance(message, Ping | Ack | PingRequest):
            return
        place = "near" if cluster.configured_hosts[target] == host.domain else "far"
        sent[place] += len(
            encode_message(sender=host.name, incarnation=incarnation, message=message)
        )
        sent["messages"] += 1

    cluster.on_send = count
    cluster.run_ms(MEASURED_MS)
    cluster.on_send = None
    share = len(cluster.hosts) * MEASURED_MS / 1_000
    return Traffic(sent["near"] / share, sent["far"] / share, sent["messages"] / share)


def _empty_update_queues(cluster: Cluster) -> None:
    """Empty the update queues, which would take minutes of virtual time at 270 hosts."""
    for host in cluster.hosts.values():
        while host.membership._table.take_queued_hosts(len(cluster.hosts), excluded=frozenset()):
            pass


def _detection_table() -> Table:
    rows = []
    for hosts, seeds in DETECTION_SEEDS.items():
        times = [_detect(hosts, seed) for seed in range(seeds)]
        cells = [str(hosts), str(seeds)]
        for index in range(3):
            values = [each[index] for each in times]
            cells += [f"{statistics.median(values):.0f}", f"{max(values):.0f}"]
        rows.append(tuple(cells))
    conclusion = (
        "The design page expects a suspicion after about 1 s and a death 1.5 s later. The first "
        "host suspects in that time; the last one also waits for the statement to be passed on."
    )
    columns = (
        "Hosts",
        "Runs",
        "First suspicion, median ms",
        "maximum",
        "Not alive in any view, median ms",
        "maximum",
        "Dead in every view, median ms",
        "maximum",
    )
    return Table(
        "membership-detection",
        "Time to detect a crashed entry host",
        COMMAND,
        0,
        columns,
        tuple(rows),
        conclusion,
    )


def _detect(hosts: int, seed: int) -> tuple[float, float, float]:
    cluster = start_cluster(hosts, seed=seed)
    cluster.run_ms(37 * seed)
    name = f"entry-{seed % hosts}"
    cluster.crash(name)
    begin_ms = cluster.now()

    def elapsed(quantifier, state: MemberState) -> float:
        def reached() -> bool:
            return quantifier(each >= state for each in cluster.states_of(name).values())

        if cluster.run_until(reached, limit_ms=DETECTION_LIMIT_MS) is None:
            raise RuntimeError(f"{name} was not {state.name} within {DETECTION_LIMIT_MS} ms")
        return cluster.now() - begin_ms

    first = elapsed(any, MemberState.SUSPECTED)
    return first, elapsed(all, MemberState.SUSPECTED), elapsed(all, MemberState.DEAD)


def _suspicion_table() -> Table:
    rows = []
    for hosts in (7, 9):
        for loss in LOSSES:
            link = Link(far_delay_ms=(2.5, 10.0), loss=loss)
            cluster = start_cluster(hosts, seed=SEED, link=link)
            cluster.run_ms(LOSS_RUN_DURATION_MS)
            rows.append(_suspicion_row(cluster, loss))
    columns = (
        "Hosts",
        "Loss of each message",
        "False suspicions per host and hour",
        "Refuted by the host",
        "False deaths",
    )
    conclusion = (
        "No host crashes in these runs, so every suspicion is false. A suspicion needs the loss of "
        "a direct probe, its repetition and both indirect ones; a death also needs the loss of "
        "every ping to the host during the 1.5 s of suspicion."
    )
    return Table(
        "membership-suspicions",
        "False suspicions with lost messages; delay 2.5 to 10 ms between failure domains",
        COMMAND,
        SEED,
        columns,
        tuple(rows),
        conclusion,
    )


def _suspicion_row(cluster: Cluster, loss: float) -> tuple[str, ...]:
    totals = [host.membership.statistics() for host in cluster.hosts.values()]
    host_hours = len(cluster.hosts) * LOSS_RUN_DURATION_MS / 3_600_000
    return (
        str(len(cluster.hosts)),
        f"{loss:.0%}",
        f"{sum(each.suspicions for each in totals) / host_hours:.1f}",
        str(sum(each.refutations for each in totals)),
        str(sum(each.deaths for each in totals)),
    )
