"""Write the tables of docs/CAPACITY.md from measured slopes and the growth target."""

from __future__ import annotations

from typing import NamedTuple

from benchmarks import capacity_slopes as slopes
from benchmarks.run_all import PAGE as MEASUREMENTS
from benchmarks.run_all import replace_generated
from benchmarks.slopes import Slope

PAGE = MEASUREMENTS.parent / "CAPACITY.md"
SECONDS_PER_DAY = 86_400

HOST_COUNT = 470
SERVER_COUNT = 3_500
SERVICE_COUNT = 670
DOMAIN_COUNT = 5
OPEN_FLOW_COUNT = 3_100_000
NEW_FLOWS_PER_S = 43_000
CHANGES_PER_DAY = 890
RESTARTS_PER_DAY = 521
MAX_CORE_PERCENT = 2.3
MAX_MEMORY_MB = 128
MAX_CONTROL_BYTES_PER_S = 10_000
MAX_STORE_WRITES_PER_S = 300
MAX_STORE_READS_PER_S = 2_000
# Assumed by the design: one heartbeat in and one out for each near and far probe.
HEARTBEATS_PER_S = 12
POLLS_PER_S = 32
RECORD_BYTES_PER_FLOW = 6 * 1.3
# A failure domain lost as a whole ejects a fifth of all servers.
DISPLACED_RATIO = 1 / DOMAIN_COUNT
# Suspicion, death, return and their refutations: each changes the view once.
VIEW_CHANGES_PER_RESTART = 4
CLAIM_BYTES_PER_REQUEST = 205


class MeasuredSlopes(NamedTuple):
    """All slopes, by subject."""

    heartbeats: Slope
    heartbeat_message: Slope
    control: Slope
    heartbeat: Slope
    event: Slope
    tables: Slope
    apply: Slope
    parse: Slope
    document: Slope
    view: Slope
    packet: Slope
    displaced_packet: Slope
    records: Slope
    store: Slope


class Row(NamedTuple):
    """One row of the table of a role."""

    quantity: str
    arithmetic: str
    value: str
    limit: str
    carried_by: str


def measure_slopes() -> MeasuredSlopes:
    """Measure every slope; takes about two minutes."""
    return MeasuredSlopes(
        heartbeats=slopes.heartbeat_bytes(),
        heartbeat_message=slopes.digest_bytes(),
        control=slopes.control_cpu_time(),
        heartbeat=slopes.heartbeat_cpu_time(),
        event=slopes.event_cpu_time(),
        tables=slopes.table_memory(),
        apply=slopes.apply_cpu_time(),
        parse=slopes.parse_cpu_time(),
        document=slopes.document_bytes(),
        view=slopes.view_cpu_time(),
        packet=slopes.packet_cpu_time(displaced=False),
        displaced_packet=slopes.packet_cpu_time(displaced=True),
        records=slopes.record_memory(),
        store=slopes.store_calls(),
    )


def slopes_table(measured: MeasuredSlopes) -> str:
    """Return the table of measured points and fitted lines."""
    lines = [
        "| Subject | Measured points | Slope | Intercept | r² | Linear |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for line in measured:
        points = ", ".join(f"{x:g}: {y:.4g}" for x, y in line.points)
        lines.append(
            f"| {line.name}, {line.y_unit} by {line.x_unit} | {points} | {line.slope:.3g} | "
            f"{line.intercept:.3g} | {line.r_squared:.3f} | {'yes' if line.linear else 'no'} |"
        )
    return "\n".join(lines)


def dispatching_host(measured: MeasuredSlopes) -> list[Row]:
    """Return the resource use of every entry host."""
    heartbeats = measured.heartbeats.at(HOST_COUNT)
    tables_mb = measured.tables.at(SERVICE_COUNT)
    membership = max(y for _, y in measured.control.points)
    heartbeat_ms = max(y for _, y in measured.heartbeat.points)
    event_ms = max(y for _, y in measured.event.points)
    events_percent = (HEARTBEATS_PER_S * heartbeat_ms + POLLS_PER_S * event_ms) / 10
    view_percent = measured.view.at(HOST_COUNT) * RESTARTS_PER_DAY * VIEW_CHANGES_PER_RESTART
    view_percent = view_percent / (SECONDS_PER_DAY * 10)
    change_ms = measured.parse.at(SERVER_COUNT) + measured.apply.at(SERVICE_COUNT)
    change_percent = change_ms * CHANGES_PER_DAY / (SECONDS_PER_DAY * 10)
    document_b = measured.document.at(SERVER_COUNT) * 1_000 * CHANGES_PER_DAY / SECONDS_PER_DAY
    percent = membership + events_percent + view_percent + change_percent
    return [
        Row(
            "heartbeats",
            f"{measured.heartbeats.intercept:.0f} + {measured.heartbeats.slope:.2f} x "
            f"{HOST_COUNT} B/s",
            f"{heartbeats:.0f} B/s",
            "",
            "probes of one peer per interval (section 4 of the design)",
        ),
        Row(
            "documents passed on",
            f"{measured.document.at(SERVER_COUNT):.0f} KB x {CHANGES_PER_DAY} a day",
            f"{document_b:.0f} B/s",
            "",
            "one compressed document a host and change",
        ),
        Row(
            "control traffic, quiet",
            "sum",
            f"{heartbeats + document_b:.0f} B/s",
            f"{MAX_CONTROL_BYTES_PER_S} B/s",
            "",
        ),
        Row(
            "lookup tables",
            f"{measured.tables.slope * 1_000:.1f} KB x {SERVICE_COUNT} services",
            f"{tables_mb:.0f} MB",
            f"{MAX_MEMORY_MB} MB",
            "one Maglev table a service; a second one only for a service in change",
        ),
        Row(
            "membership and convergence",
            "does not rise with members; highest point",
            f"{membership:.2f} % of a core",
            "",
            "constant probe rate; 3 watch candidates a domain",
        ),
        Row(
            "heartbeats and reports at a whole host",
            f"{HEARTBEATS_PER_S} x {heartbeat_ms:.2f} + {POLLS_PER_S} x {event_ms:.3f} ms/s",
            f"{events_percent:.2f} % of a core",
            "",
            "views that differ by digests only go out every 250 ms",
        ),
        Row(
            "membership changes in steering",
            f"{measured.view.at(HOST_COUNT):.0f} ms x {RESTARTS_PER_DAY} x "
            f"{VIEW_CHANGES_PER_RESTART} a day",
            f"{view_percent:.2f} % of a core",
            "",
            "only displaced buckets have owners",
        ),
        Row(
            "applying a file",
            f"({measured.parse.at(SERVER_COUNT):.0f} + {measured.apply.at(SERVICE_COUNT):.0f}) ms "
            f"x {CHANGES_PER_DAY} a day",
            f"{change_percent:.2f} % of a core",
            "",
            "parsing on a worker thread; unchanged services keep their tables",
        ),
        Row("processor, quiet", "sum", f"{percent:.2f} %", f"{MAX_CORE_PERCENT} %", ""),
        Row(
            "packets, undisplaced",
            f"highest point, {measured.packet.points[-1][0]:g} services",
            f"{measured.packet.points[-1][1]:.1f} us a packet",
            "",
            "one dict and one array lookup, no state",
        ),
    ]


def flow_owner(measured: MeasuredSlopes) -> list[Row]:
    """Return the resource use of owners of displaced buckets when a failure domain is lost."""
    remaining = HOST_COUNT * (1 - DISPLACED_RATIO)
    displaced_per_s = NEW_FLOWS_PER_S * DISPLACED_RATIO / remaining
    records = 2 * OPEN_FLOW_COUNT * DISPLACED_RATIO / remaining
    replicated = displaced_per_s * RECORD_BYTES_PER_FLOW
    return [
        Row(
            "records, one failure domain lost",
            f"2 x {OPEN_FLOW_COUNT} x {DISPLACED_RATIO:.1f} / {remaining:.0f} hosts",
            f"{records:.0f} records, {records * measured.records.slope:.2f} MB",
            f"400,000 records, {MAX_MEMORY_MB} MB",
            "records of displaced buckets only, at owner and replica",
        ),
        Row(
            "replication",
            f"{NEW_FLOWS_PER_S} x {DISPLACED_RATIO:.1f} / {remaining:.0f} x "
            f"{RECORD_BYTES_PER_FLOW:.1f} B",
            f"{replicated:.0f} B/s",
            f"{MAX_CONTROL_BYTES_PER_S} B/s",
            "batches of 6 bytes a flow, with their frames",
        ),
        Row(
            "packets, displaced",
            "highest point",
            f"{measured.displaced_packet.points[-1][1]:.1f} us a packet",
            "",
            "owner's record table, one extra hop",
        ),
        Row(
            "heartbeat while 134 services are in change",
            f"{measured.heartbeat_message.intercept:.0f} + "
            f"{measured.heartbeat_message.slope:.0f} x 64 B, {HEARTBEATS_PER_S} a second",
            f"{measured.heartbeat_message.at(64) * HEARTBEATS_PER_S:.0f} B/s",
            f"{MAX_CONTROL_BYTES_PER_S} B/s",
            "**would not carry**: see below",
        ),
    ]


def watcher(measured: MeasuredSlopes) -> list[Row]:
    """Return the additional resource use of the watcher of a failure domain."""
    return [
        Row(
            "watch and lease",
            f"{measured.store.at(DOMAIN_COUNT):.1f} calls/s / {DOMAIN_COUNT} domains",
            f"{measured.store.at(DOMAIN_COUNT) / DOMAIN_COUNT:.1f} calls/s a domain",
            "",
            "one watch a domain; two further candidates try the lease",
        ),
        Row(
            "documents to peers",
            f"2 x {measured.document.at(SERVER_COUNT):.0f} KB a change at once",
            f"{2 * measured.document.at(SERVER_COUNT):.0f} KB a change",
            "",
            "offers to two peers, which offer on; sending is paced by size",
        ),
    ]


def dispatcher() -> list[Row]:
    """Return the resource use of the owner of the slots of backend servers."""
    pools = SERVICE_COUNT * DOMAIN_COUNT
    return [
        Row(
            "queues",
            f"{SERVICE_COUNT} services x {DOMAIN_COUNT} domains / {HOST_COUNT} hosts",
            f"{pools / HOST_COUNT:.1f} queues a host",
            "",
            "rendezvous of service and domain over the domain's hosts",
        ),
        Row(
            "servers",
            f"{SERVER_COUNT} / {HOST_COUNT}",
            f"{SERVER_COUNT / HOST_COUNT:.1f} servers a host",
            "",
            "exact slot counts at one host",
        ),
        Row(
            "claims",
            f"{CLAIM_BYTES_PER_REQUEST} B a non-idempotent request",
            f"{MAX_CONTROL_BYTES_PER_S // 2 // CLAIM_BYTES_PER_REQUEST} requests/s a host for half "
            "of the budget",
            f"{MAX_CONTROL_BYTES_PER_S} B/s",
            "three witnesses by rendezvous, wherever the request runs",
        ),
        Row(
            "load reports",
            f"{SERVER_COUNT} servers at {POLLS_PER_S} polls/s",
            f"{SERVER_COUNT / POLLS_PER_S:.0f} s a round",
            "5 s",
            "**would not carry**: see below",
        ),
    ]


def store(measured: MeasuredSlopes) -> list[Row]:
    """Return the load of the platform's store."""
    idle = measured.store.at(DOMAIN_COUNT)
    changes = CHANGES_PER_DAY * (4 + 2 * DOMAIN_COUNT) / SECONDS_PER_DAY
    starts = RESTARTS_PER_DAY * 2 / SECONDS_PER_DAY
    return [
        Row(
            "leases and watches",
            "measured line",
            f"{idle:.1f} calls/s",
            "",
            f"{DOMAIN_COUNT} watchers",
        ),
        Row(
            "changes",
            f"{CHANGES_PER_DAY} a day x (4 + 2 x {DOMAIN_COUNT}) calls",
            f"{changes:.2f} calls/s",
            "",
            "read, write, history; a read and a watch a domain",
        ),
        Row("start markers", f"{RESTARTS_PER_DAY} x 2 a day", f"{starts:.3f} calls/s", "", ""),
        Row(
            "all calls",
            "sum",
            f"{idle + changes + starts:.1f} calls/s",
            f"{MAX_STORE_WRITES_PER_S} writes/s, {MAX_STORE_READS_PER_S} reads/s",
            "watchers only; 13.0 calls/s were measured at 270 hosts",
        ),
    ]


def operator_tool(measured: MeasuredSlopes) -> list[Row]:
    """Return the resource use of one ``redwingswitchctl apply``."""
    return [
        Row(
            "checking a file",
            f"{measured.parse.intercept:.0f} + {measured.parse.slope:.3f} x {SERVER_COUNT} ms",
            f"{measured.parse.at(SERVER_COUNT) / 1_000:.2f} s",
            "9 s in all",
            "",
        ),
        Row(
            "document",
            f"{measured.document.slope * 1_000:.1f} B x {SERVER_COUNT}",
            f"{measured.document.at(SERVER_COUNT):.0f} KB",
            "1 MB; the text itself too",
            "compressed; defaults left out of the file",
        ),
    ]


def render(rows: list[Row]) -> str:
    """Return the table of a role."""
    lines = [
        "| Quantity | Arithmetic | At full size | Limit | Carried by |",
        "| --- | --- | --- | --- | --- |",
    ]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def main() -> None:
    """Measure, and rewrite the generated part of the page."""
    measured = measure_slopes()
    sections = {
        "Measured slopes": slopes_table(measured),
        "Every entry host (packets, heartbeats, files)": render(dispatching_host(measured)),
        "Flow owner": render(flow_owner(measured)),
        "Domain watcher": render(watcher(measured)),
        "Owner of a backend server's slots (dispatcher)": render(dispatcher()),
        "Store": render(store(measured)),
        "Operator tool": render(operator_tool(measured)),
    }
    text = "\n\n".join(f"### {title}\n\n{table}" for title, table in sections.items())
    replace_generated(PAGE, text)


if __name__ == "__main__":
    main()
