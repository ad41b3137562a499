"""The demo: a change, a graceful stop and a crash at once in a deployment under load."""

from __future__ import annotations

import asyncio
from random import Random

from redwingswitch._internal.models.identifiers import FlowKey
from redwingswitch._internal.network.store_http import HttpConfigStore
from redwingswitch._internal.ports import Clock
from redwingswitch._internal.standins import demo_checks
from redwingswitch._internal.standins.demo_checks import Check
from redwingswitch._internal.standins.demo_fleet import JOB_BOARD, DemoFleet
from redwingswitch._internal.standins.demo_load import DemoLoad
from redwingswitch._internal.standins.fabric import Fabric, Impairments
from redwingswitch._internal.standins.request_caller import RequestCaller
from redwingswitch._internal.standins.store import EtcdGatewayStandin

START_TIMEOUT_S = 15.0
WARM_UP_S = 3.0
# Time for the spliced connections to open before their host stops.
SPLICE_OPENING_TIME_S = 0.5
CHANGE_TIMEOUT_S = 10.0
LOAD_AFTER_CHANGE_S = 10.0
STOP_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
# Time for the fabric's health checks to notice a dead or leaving host.
FABRIC_HEALTH_CHECK_LAG_S = 1.0
# The time limit until a leaving backend server gets no new work.
LEAVING_LIMIT_S = 3.0
STORE_TIMEOUT_MS = 2_000
MS_PER_S = 1_000
IMPAIRMENTS = Impairments(
    loss_ratio=0.005, duplication_ratio=0.01, delay_ratio=0.05, max_delay_ms=30
)
DRAINED_SERVER = "job-board-1"
ADDED_SERVER = "job-board-8"
STOPPED_HOST = "entry-7"
KILLED_HOST = "entry-4"


class Demo:
    """One run of the demo."""

    def __init__(self, *, clock: Clock, random_source: Random) -> None:
        self._clock = clock
        self._random = random_source
        self._fabric = Fabric(random_source=random_source, impairments=IMPAIRMENTS)
        self._store_standin = EtcdGatewayStandin(clock=clock)
        self._store_standin.start()
        self._store = HttpConfigStore(
            endpoints=[f"http://127.0.0.1:{self._store_standin.port}"],
            timeout_ms=STORE_TIMEOUT_MS,
        )
        self._fleet = DemoFleet(
            clock=clock, random_source=random_source, store=self._store, fabric=self._fabric
        )
        self._caller = RequestCaller(
            address="127.0.0.1", fabric=self._fabric, random_source=random_source
        )
        self._load = DemoLoad(fleet=self._fleet, caller=self._caller, random_source=random_source)
        self._checks: list[Check] = []

    async def run(self) -> list[Check]:
        """Run all steps and return their checks."""
        try:
            await self._start()
            await self._apply_change()
            await self._finish_load()
        finally:
            self._caller.close()
            await self._fleet.close()
            self._store.close()
            await self._store_standin.stop()
        return self._checks

    async def _start(self) -> None:
        await self._fleet.start()
        in_force_ms = await self._wait_until_in_force(1, list(self._fleet.daemons), START_TIMEOUT_S)
        _print_progress(
            f"7 entry hosts and 10 backend servers; revision 1 in force after {in_force_ms} ms"
        )
        self._load.start()
        await asyncio.sleep(WARM_UP_S)
        self._load.start_spliced(host=STOPPED_HOST)
        await asyncio.sleep(SPLICE_OPENING_TIME_S)

    async def _apply_change(self) -> None:
        fleet = self._fleet
        remaining = [name for name in fleet.daemons if name not in (STOPPED_HOST, KILLED_HOST)]
        fleet.drain_server(DRAINED_SERVER)
        await fleet.add_server(ADDED_SERVER, JOB_BOARD)
        revision = await fleet.apply()
        _print_progress(f"revision {revision}: {DRAINED_SERVER} drains, {ADDED_SERVER} is added")
        stopping = asyncio.ensure_future(self._stop_host())
        await fleet.daemons[KILLED_HOST].close()
        _print_progress(f"{KILLED_HOST} is killed, {STOPPED_HOST} stops gracefully")
        asyncio.get_running_loop().call_later(
            FABRIC_HEALTH_CHECK_LAG_S, fleet.publish_hosts, remaining
        )
        in_force_ms = await self._wait_until_in_force(revision, remaining, CHANGE_TIMEOUT_S)
        self._checks.append(demo_checks.in_force_check(in_force_ms))
        await asyncio.sleep(LEAVING_LIMIT_S)
        opened_before = set(fleet.servers[DRAINED_SERVER].tunnel.opened_flows)
        await asyncio.sleep(LOAD_AFTER_CHANGE_S)
        self._check_new_flows(opened_before)
        self._checks.append(await stopping)

    async def _finish_load(self) -> None:
        self._load.stop()
        await self._load.finish()
        servers = list(self._fleet.servers.values())
        self._checks += demo_checks.flow_checks(self._fleet.streams.flow_results())
        self._checks.append(demo_checks.spliced_check(self._load.spliced))
        self._checks += demo_checks.server_checks(servers)
        self._checks += demo_checks.request_checks(self._load.results, servers)

    async def _stop_host(self) -> Check:
        daemon = self._fleet.daemons[STOPPED_HOST]
        started_ms = self._clock.now_ms()
        daemon.request_stop()
        try:
            await asyncio.wait_for(daemon.wait_stopped(), STOP_TIMEOUT_S)
        except TimeoutError:
            return Check("graceful stop", "did not end", False)
        cut_off = daemon.metrics.counts["cut_off_requests_total"].total()
        elapsed_ms = self._clock.now_ms() - started_ms
        return Check("graceful stop", f"{elapsed_ms} ms, {cut_off} cut off", cut_off == 0)

    def _check_new_flows(self, opened_before: set[FlowKey]) -> None:
        late_flows = len(self._fleet.servers[DRAINED_SERVER].tunnel.opened_flows - opened_before)
        self._checks.append(
            Check("new flows at the drained server after 3 s", str(late_flows), late_flows == 0)
        )
        added_flows = len(self._fleet.servers[ADDED_SERVER].tunnel.opened_flows)
        self._checks.append(Check("flows at the added server", str(added_flows), added_flows > 0))

    async def _wait_until_in_force(
        self, revision: int, names: list[str], timeout_s: float
    ) -> int | None:
        started_ms = self._clock.now_ms()
        deadline_ms = started_ms + timeout_s * MS_PER_S
        while any(revision_held < revision for revision_held in self._fleet.revisions(names)):
            if self._clock.now_ms() > deadline_ms:
                return None
            await asyncio.sleep(POLL_INTERVAL_S)
        return self._clock.now_ms() - started_ms


def _print_progress(text: str) -> None:
    print(text, flush=True)
