"""The steering demo: flows survive a drain, crashes and an outage of the store."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from redwingswitch._internal.decisions.cookies.readiness import Readiness
from redwingswitch._internal.models.list_sharing import ListSharingRole
from redwingswitch._internal.platform.standins.flows import Flow
from redwingswitch._internal.platform.standins.site import (
    HOST_ADDRESSES,
    RunningHost,
    SteeringSite,
)
from redwingswitch._internal.platform.standins.store import Fault
from redwingswitch._internal.standins.demo_checks import Check
from redwingswitch._internal.utils.clocks import MonotonicClock

SERVER_COUNT = 4
FLOW_COUNT = 12
POLL_INTERVAL_S = 0.01
# The time limit of the README until leaving servers get no new work.
LEAVING_LIMIT_MS = 3_000
DRAINED_SERVER = "i-00000001"


class SteeringDemo:
    """One run of the demo against stand-ins of the store, backend servers and callers."""

    def __init__(self, *, random_source: Random) -> None:
        self._random = random_source
        self._clock = MonotonicClock()
        self._flows: dict[Flow, str] = {}
        self._checks: list[Check] = []

    async def run(self) -> list[Check]:
        """Run all steps and return their checks."""
        async with SteeringSite() as site:
            self._site = site
            await self._start()
            await self._drain()
            await self._run_step("flows go on while the store is down", self._take_store_down)
            await self._run_step("flows go on after the reading host crashed", self._crash_reader)
            await self._run_step("flows go on after all hosts started again", self._restart_hosts)
        return self._checks

    async def _start(self) -> None:
        self._site.configure()
        for number in range(1, SERVER_COUNT + 1):
            await self._site.add_server(number)
        for number in range(len(HOST_ADDRESSES)):
            self._site.add_host(number)
        await self._wait_until(self._is_settled)
        for _ in range(FLOW_COUNT):
            flow = await self._site.open_flow(self._any_host())
            self._flows[flow] = await flow.send_request(self._any_host().address, "first") or ""
        self._add_check(
            "flows opened", f"{sum(map(bool, self._flows.values()))} of {FLOW_COUNT}", None
        )
        readers = [
            host for host in self._site.hosts if host.daemon.list_role is ListSharingRole.SERVING
        ]
        calls = len(self._site.store.calls)
        self._add_check("hosts that read the list", f"{len(readers)}, {calls} calls so far", None)

    async def _drain(self) -> None:
        started_ms = self._clock.now_ms()
        self._site.list_server(self._site.servers[DRAINED_SERVER], state="draining")
        await self._wait_until(lambda: not any(map(self._offers_drained_server, self._site.hosts)))
        elapsed_ms = self._clock.now_ms() - started_ms
        self._add_check(
            "drain known on every host", f"{elapsed_ms} ms", elapsed_ms <= LEAVING_LIMIT_MS
        )
        await self._check_flows("flows go on at the draining server")

    async def _take_store_down(self) -> None:
        self._site.store.fault = Fault.RESET
        await self._wait_until(
            lambda: not any(h.daemon.is_store_reachable for h in self._site.hosts)
        )

    async def _crash_reader(self) -> None:
        self._site.store.fault = None
        await self._wait_until(self._is_settled)
        reader = next(h for h in self._site.hosts if h.daemon.list_role is ListSharingRole.SERVING)
        await reader.kill()
        self._site.hosts.remove(reader)

    async def _restart_hosts(self) -> None:
        for host in self._site.hosts:
            await host.kill()
        self._site.hosts.clear()
        for number in range(len(HOST_ADDRESSES)):
            self._site.add_host(number)

    async def _run_step(self, label: str, scenario: Callable[[], Awaitable[None]]) -> None:
        await scenario()
        await self._check_flows(label)

    async def _check_flows(self, label: str) -> None:
        unchanged = 0
        for flow, server in self._flows.items():
            unchanged += await flow.send_request(self._any_host().address, "again") == server
        self._add_check(
            label, f"{unchanged} of {FLOW_COUNT} at their server", unchanged == FLOW_COUNT
        )

    def _is_settled(self) -> bool:
        hosts = self._site.hosts
        roles = sorted(str(host.daemon.list_role) for host in hosts)
        expected_roles = [ListSharingRole.FOLLOWING] * (len(hosts) - 1) + [ListSharingRole.SERVING]
        return roles == expected_roles and all(h.daemon.readiness is Readiness.READY for h in hosts)

    def _any_host(self) -> RunningHost:
        return self._random.choice(self._site.hosts)

    def _offers_drained_server(self, host: RunningHost) -> bool:
        return DRAINED_SERVER in host.daemon.servers_for_new_flows("job-board")

    def _add_check(self, label: str, value: str, passed: bool | None) -> None:
        self._checks.append(Check(label, value, passed))

    async def _wait_until(self, condition: Callable[[], bool]) -> None:
        while not condition():
            await asyncio.sleep(POLL_INTERVAL_S)
