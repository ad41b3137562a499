"""Guards the limit of servers in slow start with complete hosts of two failure domains.

Judged by the opening packets that reach the servers.
"""

import asyncio
import json
import random
import signal
from collections.abc import Sequence
from pathlib import Path

import pytest

from redwingswitch._internal.decisions.cookies.readiness import Readiness
from redwingswitch._internal.platform.standins.flows import Packet, PlatformServerStandin
from redwingswitch._internal.platform.standins.site import (
    DESTINATION,
    FAILURE_DOMAIN,
    OTHER_FAILURE_DOMAIN,
    RunningHost,
    SteeringSite,
)
from tests.lib.loops import run, wait_until
from tests.lib.sliding_seconds import most_in_a_second
from tests.soak.disturbances import DisturbanceLog
from tests.soak.invariants import SLOW_START_LIMIT, InvariantChecker
from tests.soak.processes import HostProcess
from tests.soak.servers import SoakServer, wall_clock_ms
from tests.soak.site import FAILURE_DOMAINS, SoakSite

DOMAINS = (FAILURE_DOMAIN, OTHER_FAILURE_DOMAIN)
HOSTS_PER_DOMAIN = 3
RATE_PER_S = 12
# Longer than the tests.
SLOW_START_MS = 60_000
CALLERS = 16
CALLER_PAUSE_S = 0.05
MAX_FLOWS_PER_CALLER = 600
# More than a sliding second may hold.
ENOUGH_OPENINGS = RATE_PER_S + 1
SLOW_START_SERVERS = 2
SOAK_HOSTS = 6


class Load:
    """Callers that open flows through random ones of ``hosts`` until they are stopped."""

    def __init__(self, site: SteeringSite) -> None:
        self.hosts = site.hosts
        self._site = site
        self._random = random.Random(1)
        self._tasks = [asyncio.create_task(self._open_flows()) for _ in range(CALLERS)]

    async def _open_flows(self) -> None:
        for _ in range(MAX_FLOWS_PER_CALLER):
            host = self._random.choice(self.hosts)
            await self._site.callers.create_flow(DESTINATION).open(host.address)
            await asyncio.sleep(CALLER_PAUSE_S)

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def start_site(site: SteeringSite) -> None:
    """Start the hosts of both failure domains."""
    site.configure(slow_start_per_s=RATE_PER_S)
    for number in range(len(DOMAINS) * HOSTS_PER_DOMAIN):
        domain = DOMAINS[number % len(DOMAINS)]
        site.add_host(number, failure_domain=domain, load_sharing=True)
    await wait_until(lambda: all(h.daemon.readiness is Readiness.READY for h in site.hosts))


def openings_since(server: PlatformServerStandin, since_ms: float) -> list[float]:
    return [at_ms for at_ms in server.opening_times_ms if at_ms >= since_ms]


async def until_limit_was_tried(servers: Sequence[PlatformServerStandin], since_ms: float) -> None:
    """Wait until each server got more opening packets than it may get in a second."""
    await wait_until(
        lambda: all(len(openings_since(s, since_ms)) >= ENOUGH_OPENINGS for s in servers)
    )


def entitled_hosts(
    site: SteeringSite, servers: Sequence[PlatformServerStandin]
) -> list[RunningHost]:
    """Return the hosts that may send one of these servers in slow start flows."""
    return [
        host
        for host in site.hosts
        if any(
            host.daemon._steering.slow_start.entitlement.is_entitled(
                server.name, host.daemon._clock.now_ms()
            )
            for server in servers
        )
    ]


def offering_hosts(site: SteeringSite, server: PlatformServerStandin) -> list[RunningHost]:
    return [h for h in site.hosts if server.name in h.daemon.servers_for_new_flows("job-board")]


def assert_limit_kept(server: PlatformServerStandin, since_ms: float = 0) -> None:
    assert most_in_a_second(openings_since(server, since_ms)) <= RATE_PER_S, server.name


def test_the_limit_holds_beside_other_servers_after_a_return_and_without_other_servers() -> None:
    async def scenario() -> None:
        async with SteeringSite() as site:
            serving = await site.add_server(1)
            returning = await site.add_server(2, failure_domain=OTHER_FAILURE_DOMAIN)
            starting = [
                await site.add_server(
                    number, failure_domain=domain, slow_start_left_ms=SLOW_START_MS
                )
                for number, domain in enumerate(DOMAINS, start=3)
            ]
            await start_site(site)
            load = Load(site)
            # Others serve, and servers in slow start get flows too.
            await until_limit_was_tried(starting, 0)
            assert serving.opened_flow_count > 0
            for server in starting:
                assert_limit_kept(server)

            site.store.take_out_of_service(OTHER_FAILURE_DOMAIN)
            await wait_until(lambda: not offering_hosts(site, returning))
            back_ms = wall_clock_ms()
            site.store.take_back(OTHER_FAILURE_DOMAIN)
            await wait_until(lambda: len(offering_hosts(site, returning)) == len(site.hosts))
            # Until then, only the return itself tells the hosts of the slow start.
            site.list_server(
                returning, failure_domain=OTHER_FAILURE_DOMAIN, slow_start_left_ms=SLOW_START_MS
            )

            # The other hosts will reject flows.
            await wait_until(
                lambda: all(
                    len(entitled_hosts(site, [server])) == len(DOMAINS)
                    for server in (returning, *starting)
                )
            )
            load.hosts = entitled_hosts(site, [returning, *starting])
            site.list_server(serving, state="draining")
            await wait_until(lambda: not offering_hosts(site, serving))
            alone_ms = wall_clock_ms()
            await until_limit_was_tried([returning, *starting], alone_ms)
            await load.stop()
            for host in load.hosts:
                await site.open_flow(host)

            for server in starting:
                assert_limit_kept(server)
            assert_limit_kept(returning, back_ms)

    run(scenario())


async def find_reader(site: SoakSite, domain: str) -> HostProcess:
    """Return the host that the store records as the reader of a failure domain."""
    key = f"redwingswitch/readers/{domain}"
    await wait_until(lambda: key in site.store.list_keys(key))
    record = json.loads(site.store.take_copy().items[key].value or b"")
    return next(host for host in site.hosts if host.name == record["host"])


async def until_replaced(site: SoakSite, reader: HostProcess) -> None:
    while await find_reader(site, reader.failure_domain) is reader:
        await asyncio.sleep(0.005)


def test_the_limit_holds_while_readers_are_killed_or_paused(tmp_path: Path) -> None:
    async def scenario() -> None:
        site = SoakSite(hosts=SOAK_HOSTS, folder=tmp_path, seed=1, limits_slow_start=True)
        senders: set[str] = set()
        check_opening = site.invariants.on_opening

        def on_opening(server: SoakServer, host: str, packet: Packet) -> None:
            check_opening(server, host, packet)
            if server.slow_start_left_ms:
                senders.add(host)

        site.invariants.on_opening = on_opening

        async def until_all_send(*domains: str) -> None:
            """Wait until hosts of these failure domains send flows to servers in slow start."""
            senders.clear()
            await wait_until(
                lambda: {h.failure_domain for h in site.hosts if h.address in senders}
                >= set(domains)
            )

        try:
            await site.start()
            servers = [
                await site.add_server("job-board", slow_start_ms=SLOW_START_MS)
                for _ in range(SLOW_START_SERVERS)
            ]
            for server in servers:
                site.start_task(site.open_flows_in_slow_start(server))
            await until_all_send(*FAILURE_DOMAINS)
            killed, paused = [await find_reader(site, domain) for domain in FAILURE_DOMAINS[:2]]
            for host, number in ((killed, signal.SIGKILL), (paused, signal.SIGSTOP)):
                site.begin_disturbance(host)
                host.signal(number)
            for host in (killed, paused):
                await until_replaced(site, host)
            paused.signal(signal.SIGCONT)
            await until_all_send(killed.failure_domain, paused.failure_domain)
            for server in servers:
                assert len(server.slow_start_openings_ms()) > SLOW_START_LIMIT
                site.invariants.check_slow_start(server)
            assert site.invariants.violations == []
        finally:
            await site.close()

    run(scenario())


@pytest.mark.parametrize(
    ("interval_ms", "is_violation"),
    [
        pytest.param(1_000 / SLOW_START_LIMIT + 1, False, id="at the limit"),
        pytest.param(1_000 / SLOW_START_LIMIT, True, id="one more in a second"),
    ],
)
def test_the_judge_finds_a_second_above_the_limit(interval_ms: float, is_violation: bool) -> None:
    invariants = InvariantChecker(DisturbanceLog())
    server = SoakServer(
        name="i-1",
        number=1,
        service="job-board",
        failure_domain=FAILURE_DOMAIN,
        caller_port=0,
        on_opening=invariants.on_opening,
        on_later_packet=invariants.on_later_packet,
    )
    server.begin_slow_start(SLOW_START_MS)
    since_ms = server.slow_start_since_ms
    server.opening_times_ms += [since_ms + n * interval_ms for n in range(20)]
    # Opening packets before the slow start do not count.
    server.opening_times_ms += [since_ms - 1.0] * 20
    invariants.check_slow_start(server)
    assert bool(invariants.violations) == is_violation
