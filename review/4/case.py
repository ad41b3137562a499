"""Three of the four servers of a zone fall silent; the fourth one goes on working."""

from __future__ import annotations

import asyncio
import random
import sys
import tempfile
import traceback
from pathlib import Path

from redwingswitch._internal.platform.standins.documents import StandinRoute
from review_flows import CallerFlow, FlowCallers, FlowLostError, FlowResetError, FlowServer
from review_site import (
    CALLER_ADDRESS,
    CASE_BROKEN,
    CASE_COULD_NOT_RUN,
    CASE_HELD,
    ROUTE,
    STABLE_WINDOW_MS,
    Record,
    Site,
    has_trouble,
)

SERVICE = "order-desk"
# The hosts are in the first zone.
SERVERS_BY_ZONE = {"hakata-depot": 2, "kurume-depot": 4, "kokura-depot": 4, "saga-depot": 4}
HOSTS = 2
CLIENTS = 90
PAUSE_S = (0.3, 1.5)
BUDGET_S = 1.5
# The work of a stock board request: its mean, and what 3 % of the requests take.
MEAN_WORK_MS, TAIL_WORK_MS, TAIL = 26, 250, 0.03
ROUNDS = 7
DARK_ZONES = ("kurume-depot", "kokura-depot", "saga-depot")
# A caller opens another flow after so many requests.
REQUESTS_PER_FLOW = (5, 15)
DARK = 3
BEFORE_S, AFTER_S = 2.0, 6.0
ENTRY_EXPIRY_S = 3.6


class Case:
    def __init__(self, *, site: Site, callers: FlowCallers) -> None:
        self.site = site
        self.callers = callers
        self.servers: dict[str, FlowServer] = {}
        self.broken: list[str] = []
        self._requests = 0
        self._slow_flows: dict[tuple[str, int], int] = {}
        self.survivor = ""

    async def add_server(self, number: int, zone: str) -> None:
        server = FlowServer(
            number=number,
            zone=zone,
            service=SERVICE,
            caller_port=self.site.port,
            record=self.site.record,
        )
        await server.start()
        self.servers[server.name] = server
        self.site.store.put(f"servers/{server.name}", server.entry())

    async def client(self) -> None:
        """Keep a flow open for many requests; open a new one after each failure."""
        await asyncio.sleep(random.random() * PAUSE_S[1])
        while True:
            flow = self.callers.create_flow(ROUTE, select_host=self._select_host)
            try:
                await flow.open()
                for _ in range(random.randint(*REQUESTS_PER_FLOW)):
                    await self._request(flow)
                    await asyncio.sleep(random.uniform(*PAUSE_S))
            except FlowResetError as reset:
                self._on_reset(flow, reset)
            except FlowLostError:
                self.site.record.write(f"port {flow.port} gives up, server {flow.server}")

    def _select_host(self, port: int) -> tuple[str, int]:
        # All hosts are in rotation all the time.
        return self.site.hosts[port % len(self.site.hosts)].endpoint

    async def _request(self, flow: CallerFlow) -> None:
        self._requests += 1
        is_tail = self._is_slow_flow(flow) or random.random() < TAIL
        work_ms = TAIL_WORK_MS if is_tail else max(1, int(random.gauss(MEAN_WORK_MS, 10)))
        answer = await flow.request(f"r{self._requests}", work_ms, budget_s=BUDGET_S)
        self.site.record.write(f"port {flow.port} is answered: {answer}")

    def _is_slow_flow(self, flow: CallerFlow) -> bool:
        """Return whether this is the one flow of its host whose requests take long.

        Its server is the one of the dark zone that goes on working.
        """
        if flow.server != self.survivor:
            return False
        return self._slow_flows.setdefault(flow.host, flow.port) == flow.port

    def _on_reset(self, flow: CallerFlow, reset: FlowResetError) -> None:
        hosts = {host.endpoint for host in self.site.hosts}
        server = self.servers.get(flow.server)
        text = f"port {flow.port} {reset}; its server {flow.server or 'is not known'}"
        self.site.record.write(text)
        if reset.sender in hosts and server is not None and not server.is_dark:
            self.broken.append(f"FLOW broken: {text} lives and was not disturbed")

    async def fall_silent(self, zone: str) -> None:
        """Let all but one of the servers of a zone fall silent for good, then replace them."""
        in_zone = [s for s in self.servers.values() if s.zone == zone and not s.is_dark]
        self.survivor = in_zone[-1].name
        self._slow_flows.clear()
        await asyncio.sleep(BEFORE_S)
        dark = in_zone[:DARK] if has_trouble() else []
        for server in dark:
            server.is_dark = True
            self.site.record.write(f"DISRUPTION: {server.name} in {zone} falls silent")
        # An entry is removed after three intervals without a report.
        await asyncio.sleep(ENTRY_EXPIRY_S)
        for server in dark:
            self.site.store.remove(f"servers/{server.name}")
            await self.add_server(len(self.servers) + 1, zone)
        await asyncio.sleep(AFTER_S)


async def play(site: Site, callers: FlowCallers) -> int:
    site.store.start()
    await callers.start(port=site.port)
    site.configure(version=1, routes=[StandinRoute(*ROUTE, SERVICE)])
    case = Case(site=site, callers=callers)
    zones = [zone for zone, count in SERVERS_BY_ZONE.items() for _ in range(count)]
    for number, zone in enumerate(zones, start=1):
        await case.add_server(number, zone)
    for _ in range(HOSTS):
        await site.add_host(zone="hakata-depot")
    await site.wait_until_ready()
    await asyncio.sleep(STABLE_WINDOW_MS / 1_000)
    clients = [asyncio.create_task(case.client()) for _ in range(CLIENTS)]
    await asyncio.sleep(STABLE_WINDOW_MS / 1_000)
    for number in range(ROUNDS):
        await case.fall_silent(DARK_ZONES[number % len(DARK_ZONES)])
    for task in clients:
        task.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    for text in case.broken:
        site.record.write(text)
    for host in site.hosts:
        for line in host.log_lines("suspicion", "reset_"):
            site.record.write(line)
    site.record.write(f"resets of flows whose server lives: {len(case.broken)}")
    for server in case.servers.values():
        server.close()
    return CASE_BROKEN if case.broken else CASE_HELD


async def main() -> int:
    record = Record(Path(__file__).parent / "record.txt")
    with tempfile.TemporaryDirectory() as folder:
        site = Site(folder=Path(folder), record=record)
        callers = FlowCallers(address=CALLER_ADDRESS, record=record)
        try:
            return await play(site, callers)
        except Exception:
            record.write(traceback.format_exc())
            return CASE_COULD_NOT_RUN
        finally:
            callers.close()
            await site.close()
            record.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
