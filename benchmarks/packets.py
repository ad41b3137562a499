"""Packets per second through flow steering, compared with a loopback UDP loop in the same run."""

from __future__ import annotations

import random
import socket
import statistics
import time
from collections.abc import Callable

from benchmarks.flows import HUON, SteeringRun
from benchmarks.tables import Table
from redwingswitch._internal.models.events import PacketArrived
from redwingswitch._internal.models.identifiers import PacketKind, flow_hash
from tests.lib.steering_fleet import flow_key

SEED = 21
COMMAND = "python -m benchmarks.run_all packets"
FLOW_COUNT = 20_000
ROUND_COUNT = 5
LOOP_PACKET_COUNT = 20_000
PAYLOAD = bytes(200)


def _udp_loop_rate() -> float:
    """Return the packets per second that one thread sends to itself and receives."""
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver,
    ):
        receiver.bind(("127.0.0.1", 0))
        receiver.settimeout(5.0)
        address = receiver.getsockname()
        started_s = time.perf_counter()
        for _ in range(LOOP_PACKET_COUNT):
            sender.sendto(PAYLOAD, address)
            receiver.recv(2048)
        return LOOP_PACKET_COUNT / (time.perf_counter() - started_s)


def _steering_rate(run: SteeringRun, events: list[PacketArrived]) -> float:
    on_packet = next(iter(run.fleet.hosts.values())).steering.on_packet
    now_ms = run.fleet.now_ms
    started_s = time.perf_counter()
    for event in events:
        on_packet(event, now_ms)
    return len(events) / (time.perf_counter() - started_s)


def _events(run: SteeringRun, packet_class: str) -> list[PacketArrived]:
    """Return data packets of one class: undisplaced, owned (recorded here) or forwarded."""
    steering = next(iter(run.fleet.hosts.values())).steering
    counters = steering._context.counters
    events: list[PacketArrived] = []
    number = 0
    while len(events) < FLOW_COUNT and number < FLOW_COUNT * 20:
        flow = flow_key(1, number)
        number += 1
        event = PacketArrived(flow, flow_hash(flow), PacketKind.DATA, PAYLOAD)
        forwarded, decided = counters.forwarded_packets, counters.decided_packets
        steering.on_packet(event, run.fleet.now_ms)
        kind = "undisplaced"
        if counters.forwarded_packets > forwarded:
            kind = "forwarded"
        elif counters.decided_packets > decided:
            kind = "owned"
        if kind == packet_class:
            events.append(event)
    random.Random(SEED).shuffle(events)
    return events


def prepared_run() -> SteeringRun:
    """Return a settled fleet in which one server has drained."""
    run = SteeringRun(deployment=HUON, seed=SEED)
    run.change(leaving=True)
    run.fleet.run_for(4_000)
    return run


def run() -> list[Table]:
    """Return the table of rates; every figure is the median of five rounds."""
    fleet_run = prepared_run()
    classes = {kind: _events(fleet_run, kind) for kind in ("undisplaced", "owned", "forwarded")}
    rate_functions: dict[str, Callable[[], float]] = {"bare UDP loop": _udp_loop_rate}
    for kind, events in classes.items():
        if events:
            rate_functions[kind] = lambda e=events: _steering_rate(fleet_run, e)
    rates: dict[str, list[float]] = {name: [] for name in rate_functions}
    for _ in range(ROUND_COUNT):
        for name, measure_rate in rate_functions.items():
            rates[name].append(measure_rate())
    medians = {name: statistics.median(values) for name, values in rates.items()}
    bare = medians["bare UDP loop"]
    rows = [
        (name, f"{rate:,.0f}", f"{rate / bare:.2f}", f"{100 * bare / rate:.0f} %")
        for name, rate in medians.items()
    ]
    return [
        Table(
            key="steering-packets",
            title="Packets a second through FlowSteering.on_packet",
            command=COMMAND,
            seed=SEED,
            columns=("packets", "per second", "ratio to the bare loop", "time against the loop"),
            rows=tuple(rows),
            conclusion=(
                "Median of 5 rounds in one process on a shared 10-core machine. The bare loop is "
                "one sendto and one recv of 200 bytes over loopback."
            ),
            virtual=False,
        )
    ]
