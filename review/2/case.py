"""Two machines were killed and are back; later configurations change while servers drain."""

from __future__ import annotations

import asyncio
import sys
import tempfile
import traceback
from pathlib import Path

from redwingswitch._internal.platform.standins.documents import StandinRoute
from review_site import (
    CASE_BROKEN,
    CASE_COULD_NOT_RUN,
    CASE_HELD,
    ROUTE,
    SERVICE,
    Record,
    Server,
    Site,
    has_trouble,
)

WIDE_HOSTS, NARROW_HOSTS = 2, 3
SERVERS = 10
# The figures of the installation.
WIDE_MBPS, NARROW_MBPS = 200.0, 10.0
KILLED_S = 3.5
DRAIN_MS = 5_000
STABLE_WINDOW_MS = 5_000
OTHER_ROUTES = 240 + 1_400
STORM_S, STORM_GAP_S = 1.5, 0.06
LEAVING = 5
SERVES_AFTER_REPORT_S = 12.0
CALL_INTERVAL_S = 0.05
SETTLE_S = 15.0
END_S = 4.0


def build_routes(changed: int) -> list[StandinRoute]:
    """Return all routes; the last one differs from version to version."""
    others = [
        StandinRoute(f"198.18.{4 + n // 200}.{1 + n % 200}", 8_443, SERVICE)
        for n in range(OTHER_ROUTES)
    ]
    return [StandinRoute(*ROUTE, SERVICE), *others, StandinRoute("198.18.1.1", changed, SERVICE)]


async def kill_wide_hosts(site: Site) -> None:
    """Kill both machines with wide links; they are back after some seconds."""
    if not has_trouble():
        return
    killed = site.hosts[:WIDE_HOSTS]
    for host in killed:
        await host.kill()
        site.record.write(f"DISRUPTION: {host.name} is killed")
    await asyncio.sleep(KILLED_S)
    for host in killed:
        await host.start()
        site.record.write(f"{host.name} is started")
    await site.wait_until_ready()


async def change_configurations(site: Site, version: int) -> None:
    for number in range(int(STORM_S / STORM_GAP_S)):
        site.configure(version=version + number, routes=build_routes(1_000 + number))
        await asyncio.sleep(STORM_GAP_S)


async def leave(site: Site) -> None:
    """Let servers drain, two a second, and end."""
    loop = asyncio.get_running_loop()
    for leaving in site.servers[:LEAVING]:
        leaving.report("draining")
        loop.call_later(SERVES_AFTER_REPORT_S, leaving.end)
        await asyncio.sleep(0.5)
    await asyncio.sleep(SERVES_AFTER_REPORT_S)


async def call(site: Site) -> None:
    number = 0
    running: set[asyncio.Task[str]] = set()
    try:
        while True:
            task = asyncio.create_task(site.request(site.hosts[number % len(site.hosts)]))
            number += 1
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(CALL_INTERVAL_S)
    finally:
        for task in running:
            task.cancel()


def late_openings(server: Server) -> list[tuple[float, str, int]]:
    if server.draining_since is None:
        return []
    return [o for o in server.openings if o[0] > server.draining_since + DRAIN_MS / 1_000]


async def play(site: Site) -> int:
    await site.start()
    site.configure(version=1, routes=build_routes(999))
    for _ in range(SERVERS):
        await site.add_server()
    for _ in range(WIDE_HOSTS):
        await site.add_host(link_mbps=WIDE_MBPS)
    await site.wait_until_ready()
    for _ in range(NARROW_HOSTS):
        await site.add_host(link_mbps=NARROW_MBPS)
    await site.wait_until_ready()
    await asyncio.sleep(STABLE_WINDOW_MS / 1_000)
    await kill_wide_hosts(site)
    await asyncio.sleep(SETTLE_S)
    callers = asyncio.create_task(call(site))
    # A new server is listed, and the configurations follow at once.
    await site.add_server()
    await asyncio.sleep(0.1)
    changes = asyncio.create_task(change_configurations(site, version=2))
    await asyncio.sleep(STORM_S + 0.2)
    await leave(site)
    await changes
    await asyncio.sleep(END_S)
    callers.cancel()
    late = {server.name: late_openings(server) for server in site.servers}
    for name, openings in late.items():
        for at, host, port in openings:
            site.record.write(f"DRAIN broken: {name} got port {port} from {host} at {at:.3f}")
    for host in site.hosts:
        for line in host.log_lines("list role", "store lost", "store regained", "routes in force"):
            site.record.write(line)
    count = sum(map(len, late.values()))
    site.record.write(f"opening packets at leaving servers, too late: {count}")
    return CASE_BROKEN if count else CASE_HELD


async def main() -> int:
    record = Record(Path(__file__).parent / "record.txt")
    with tempfile.TemporaryDirectory() as folder:
        site = Site(folder=Path(folder), record=record, drain_ms=DRAIN_MS)
        try:
            return await play(site)
        except Exception:
            record.write(traceback.format_exc())
            return CASE_COULD_NOT_RUN
        finally:
            await site.close()
            record.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
