"""The steering demo: flows live through a drain, crashes, and an outage of the store."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from redwingswitch._internal.decisions.cookies.readiness import Readiness
from redwingswitch._internal.models.list_sharing import ListRole
from redwingswitch._internal.platform.standins.flows import Flow
from redwingswitch._internal.platform.standins.site import (
    HOST_ADDRESSES,
    RunningHost,
    SteeringSite,
)
from redwingswitch._internal.platform.standins.store import Fault
from redwingswitch._internal.standins.demo_verdict import Check
from redwingswitch._internal.utils.clocks import MonotonicClock

SERVERS = 4
FLOWS = 12
CHECK_S = 0.01
# The bound of the README for new work at leaving servers.
LEAVING_LIMIT_MS = 3_000
DRAINED = "i-00000001"


class SteeringDemo:
    """One run of the demo against stand-ins of the store, backend servers and callers."""

    def __init__(self, *, random_source: Random) -> None:
        self._random = random_source
        self._clock = MonotonicClock()
        self._flows: dict[Flow, str] = {}
        self._checks: list[Check] = []

    async def run(self) -> list[Check]:
        """Play all steps; return what each of them showed."""
        async with SteeringSite() as site:
            self._site = site
            await self._start()
            await self._drain()
            await self._step("flows go on while the store is down", self._store_down)
            await self._step("flows go on after the reading host crashed", self._crash_reader)
            await self._step("flows go on after all hosts started again", self._start_again)
        return self._checks

    async def _start(self) -> None:
        self._site.configure()
        for number in range(1, SERVERS + 1):
            await self._site.add_server(number)
        for number in range(len(HOST_ADDRESSES)):
            self._site.add_host(number)
        await self._until(self._is_settled)
        for _ in range(FLOWS):
            flow = await self._site.flow(self._any_host())
            self._flows[flow] = await flow.ask(self._any_host().address, "first") or ""
        self._note("flows opened", f"{sum(map(bool, self._flows.values()))} of {FLOWS}", None)
        readers = [host for host in self._site.hosts if host.daemon.list_role is ListRole.SERVING]
        calls = len(self._site.store.calls)
        self._note("hosts that read the list", f"{len(readers)}, {calls} calls so far", None)

    async def _drain(self) -> None:
        began_ms = self._clock.now_ms()
        self._site.list_server(self._site.servers[DRAINED], state="draining")
        await self._until(lambda: not any(map(self._offers_drained, self._site.hosts)))
        taken_ms = self._clock.now_ms() - began_ms
        self._note("drain known on every host", f"{taken_ms} ms", taken_ms <= LEAVING_LIMIT_MS)
        await self._check_flows("flows go on at the draining server")

    async def _store_down(self) -> None:
        self._site.store.fault = Fault.RESET
        await self._until(lambda: not any(h.daemon.is_store_reachable for h in self._site.hosts))

    async def _crash_reader(self) -> None:
        self._site.store.fault = None
        await self._until(self._is_settled)
        reader = next(h for h in self._site.hosts if h.daemon.list_role is ListRole.SERVING)
        await reader.kill()
        self._site.hosts.remove(reader)

    async def _start_again(self) -> None:
        for host in self._site.hosts:
            await host.kill()
        self._site.hosts.clear()
        for number in range(len(HOST_ADDRESSES)):
            self._site.add_host(number)

    async def _step(self, text: str, play: Callable[[], Awaitable[None]]) -> None:
        await play()
        await self._check_flows(text)

    async def _check_flows(self, text: str) -> None:
        same = 0
        for flow, server in self._flows.items():
            same += await flow.ask(self._any_host().address, "again") == server
        self._note(text, f"{same} of {FLOWS} at their server", same == FLOWS)

    def _is_settled(self) -> bool:
        hosts = self._site.hosts
        roles = sorted(str(host.daemon.list_role) for host in hosts)
        settled = [ListRole.FOLLOWING] * (len(hosts) - 1) + [ListRole.SERVING]
        return roles == settled and all(h.daemon.readiness is Readiness.READY for h in hosts)

    def _any_host(self) -> RunningHost:
        return self._random.choice(self._site.hosts)

    def _offers_drained(self, host: RunningHost) -> bool:
        return DRAINED in host.daemon.servers_for_new_flows("job-board")

    def _note(self, text: str, value: str, held: bool | None) -> None:
        self._checks.append(Check(text, value, held))

    async def _until(self, holds: Callable[[], bool]) -> None:
        while not holds():
            await asyncio.sleep(CHECK_S)
