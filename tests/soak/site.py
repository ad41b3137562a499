"""The site of the soak: host processes behind proxies, a store, servers and callers."""

from __future__ import annotations

import asyncio
import random
import signal
from ipaddress import IPv4Address
from pathlib import Path

from redwingswitch._internal.platform.standins.documents import (
    StandinRoute,
    build_configuration,
    build_server_entry,
)
from redwingswitch._internal.platform.standins.store import PlatformStoreStandin
from redwingswitch._internal.standins.reserved_ports import ReservedPort
from tests.soak.callers import Routers, SoakCaller
from tests.soak.disturbances import DisturbanceLog, now_ms
from tests.soak.invariants import (
    CONVERGENCE_LIMIT_MS,
    SLOW_START_OVERSHOOT,
    SLOW_START_PER_S,
    SLOW_START_SLACK,
    InvariantChecker,
    OpenFlow,
)
from tests.soak.processes import PROGRAM, HostProcess
from tests.soak.proxy import StoreProxy
from tests.soak.servers import SoakServer

STORE_ADDRESS = "127.0.0.1"
CALLER_ADDRESS = "127.0.0.2"
FIRST_HOST_ADDRESS = int(IPv4Address("127.0.1.1"))
DESTINATIONS = {"job-board": ("198.18.0.1", 443), "photos": ("198.18.0.2", 443)}
EXTRA_ADDRESS = "198.18.0.3"
SERVER_PREFIX = "servers/"
SERVERS_PER_SERVICE = 3
# All hosts are in the first one, unless servers start slowly.
FAILURE_DOMAINS = ("huon", "hobart", "bruny")
SLOW_START_SETTINGS = (
    "load_sharing = true\n"
    f"slow_start_overshoot = {SLOW_START_OVERSHOOT}\n"
    f"slow_start_slack = {SLOW_START_SLACK}\n"
)
SLOW_START_FLOW_INTERVAL_S = 0.025
CALLER_COUNT = 24
REQUEST_INTERVAL_S = (0.05, 0.4)
REQUESTS_PER_FLOW = (2, 30)
START_LIMIT_S = 20.0
PAUSE_CHECK_INTERVAL_S = 0.2
PROCESS_CHECK_INTERVAL_S = 0.2
EXPECTED_EXIT_STATUSES = frozenset({0, -signal.SIGTERM, -signal.SIGKILL})
# Requirement: time within which callers are served again after all hosts have restarted.
RECOVERY_LIMIT_S = 12.0
MIN_SERVED_RATIO = 0.9
RECOVERY_SAMPLE_INTERVAL_S = 2.0


class SoakSite:
    """All processes, servers and callers of one run.

    With ``limits_slow_start``, the hosts are spread over all failure domains and limit the flows of
    servers in slow start.
    """

    def __init__(
        self,
        *,
        hosts: int,
        folder: Path,
        seed: int,
        program: tuple[str, ...] = PROGRAM,
        limits_slow_start: bool = False,
    ) -> None:
        self.random = random.Random(seed)
        self.disturbances = DisturbanceLog()
        self.invariants = InvariantChecker(self.disturbances)
        self.store = PlatformStoreStandin()
        self.hosts: list[HostProcess] = []
        self.proxies: dict[str, StoreProxy] = {}
        self.servers: dict[str, SoakServer] = {}
        self.served = 0
        self.attempts = 0
        self._addresses = [str(IPv4Address(FIRST_HOST_ADDRESS + n)) for n in range(hosts)]
        self._folder = folder
        self._program = program
        self._limits_slow_start = limits_slow_start
        self._routes = [
            StandinRoute(*destination, service) for service, destination in DESTINATIONS.items()
        ]
        self._version = 0
        self._numbers = iter(range(1, 1_000_000))
        self._sequence = 0
        self._reserved_ports = (ReservedPort(), ReservedPort())
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start the store, servers, hosts and callers; return when all hosts are in rotation."""
        self.store.start()
        port, peer_port = (reserved.number for reserved in self._reserved_ports)
        self.routers = Routers([(address, port) for address in self._addresses])
        self.callers = SoakCaller(
            address=CALLER_ADDRESS, routers=self.routers, on_reset=self.invariants.on_reset
        )
        await self.callers.start(port=port)
        self.configure()
        for service in DESTINATIONS:
            for _ in range(SERVERS_PER_SERVICE):
                await self.add_server(service)
        for number, address in enumerate(self._addresses):
            await self._add_host(number, address, port, peer_port)
        self.start_task(self.routers.run())
        self.start_task(self._watch_processes())
        self.start_task(self._detect_pauses())
        async with asyncio.timeout(START_LIMIT_S):
            while not all(self.routers.is_in_rotation((a, port)) for a in self._addresses):
                await asyncio.sleep(0.1)
        for _ in range(CALLER_COUNT):
            self.start_task(self._run_caller())

    async def close(self) -> None:
        """Stop everything that was started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for host in self.hosts:
            await host.end()
        for proxy in self.proxies.values():
            await proxy.close()
        for server in self.servers.values():
            server.close()
        self.callers.close()
        await self.store.close()
        for port in self._reserved_ports:
            port.close()

    def start_task(self, work) -> None:
        """Run a coroutine until it ends or the site is closed."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.invariants.report(f"soak: {task.exception()!r}")

    def configure(self) -> None:
        """Write the current routes as a new configuration version."""
        self._version += self.random.randint(1, 5)
        for route in self._routes:
            destination = (int(IPv4Address(route.address)), route.port)
            self.invariants.allowed.setdefault(destination, set()).add(route.service)
        configuration = build_configuration(
            version=self._version,
            routes=self._routes,
            slow_start_per_s=SLOW_START_PER_S if self._limits_slow_start else 0,
        )
        self.store.put("op/config", configuration)

    def list_servers_again(self) -> None:
        """Write each server's present state to a restored store."""
        for server in self.servers.values():
            self.list_server(server, state=server.state)
        for key in self.store.list_keys(SERVER_PREFIX):
            if key.removeprefix(SERVER_PREFIX) not in self.servers:
                self.store.remove(key)

    def add_route(self) -> tuple[str, int]:
        """Add a route of the job board; return its destination."""
        destination = (EXTRA_ADDRESS, 1_000 + self._version)
        self._routes.append(StandinRoute(*destination, "job-board"))
        self.configure()
        return destination

    def remove_route(self, destination: tuple[str, int]) -> None:
        """Write a configuration without the given route."""
        self._routes = [r for r in self._routes if (r.address, r.port) != destination]
        self.configure()
        key = (int(IPv4Address(destination[0])), destination[1])
        self.invariants.removed_ms[key] = now_ms()

    async def add_server(self, service: str, *, slow_start_ms: int = 0) -> SoakServer:
        """Start a server and write its entry to the store."""
        number = next(self._numbers)
        server = SoakServer(
            name=f"i-{number:08x}",
            number=number,
            service=service,
            failure_domain=self._emptiest_domain(service),
            caller_port=self.callers.port,
            on_opening=self.invariants.on_opening,
            on_later_packet=self.invariants.on_later_packet,
        )
        await server.start()
        self.servers[server.name] = server
        server.begin_slow_start(slow_start_ms)
        self.list_server(server)
        return server

    def list_server(self, server: SoakServer, *, state: str = "ready") -> None:
        """Write the entry of a server to the store."""
        self._sequence += 1
        entry = build_server_entry(
            service=server.service,
            address=f"{STORE_ADDRESS}:{server.port}",
            zone=server.failure_domain,
            state=state,
            sequence=self._sequence,
            slow_start_left_ms=server.slow_start_left_ms,
        )
        self.store.put(f"{SERVER_PREFIX}{server.name}", entry)

    def _emptiest_domain(self, service: str) -> str:
        """Return the failure domain with the fewest servers of a service."""
        domains = [s.failure_domain for s in self.servers.values() if s.service == service]
        return min(FAILURE_DOMAINS, key=domains.count)

    def take_out_of_service(self, domain: str) -> None:
        """Write the operators' request to empty a failure domain."""
        self.store.take_out_of_service(domain)
        self.invariants.out_of_service_ms[domain] = now_ms()

    def take_back(self, domain: str) -> None:
        """Withdraw that request."""
        del self.invariants.out_of_service_ms[domain]
        self.store.take_back(domain)

    def write_requests_again(self) -> None:
        """Write the operators' requests that are in force to a restored store, and no others."""
        for domain in FAILURE_DOMAINS:
            if domain in self.invariants.out_of_service_ms:
                self.take_out_of_service(domain)
            else:
                self.store.take_back(domain)

    async def open_flows_in_slow_start(self, server: SoakServer) -> None:
        """Open flows of the service of a server, more than it may get, until its slow start ends.

        Also ends with the server.
        """
        while server.slow_start_left_ms and not server.is_ended:
            _, flow = self.callers.open_routed(DESTINATIONS[server.service])
            self.start_task(flow.open(("", 0)))
            await asyncio.sleep(SLOW_START_FLOW_INTERVAL_S)

    def end_server(self, server: SoakServer) -> None:
        """Stop a server; its flows end with it."""
        server.is_ended = True
        server.is_responding = False
        server.close()
        del self.servers[server.name]

    def undisturbed_servers(self, service: str) -> list[SoakServer]:
        """Return the running servers of a service that are not draining."""
        return [
            server
            for server in self.servers.values()
            if server.service == service
            and server.draining_since_ms is None
            and server.is_responding
        ]

    async def check_route(self, destination: tuple[str, int]) -> None:
        """Check that every undisturbed host uses a new route within the convergence limit."""
        accepted_ms = now_ms()
        await asyncio.sleep(CONVERGENCE_LIMIT_MS / 1_000)
        for host in self.hosts:
            if not self._was_undisturbed(host, accepted_ms):
                continue
            _, flow = self.callers.open_through((host.address, host.port), destination)
            is_open = await flow.open((host.address, host.port))
            has_server = any(
                server.failure_domain not in self.invariants.out_of_service_ms
                for server in self.undisturbed_servers("job-board")
            )
            if not is_open and has_server and self._was_undisturbed(host, accepted_ms):
                self.invariants.report(f"configuration: {host.name} does not use a new route")

    def _was_undisturbed(self, host: HostProcess, since_ms: int) -> bool:
        """Return whether a host is undisturbed now and was undisturbed at an earlier time."""
        subjects = (host.address, "store", "machine")
        return self.disturbances.is_undisturbed(*subjects) and self.disturbances.is_undisturbed(
            *subjects, since_ms=since_ms
        )

    async def check_recovery(self) -> None:
        """Kill all hosts at once, restart them, and check that callers are served again."""
        for host in self.hosts:
            self.begin_disturbance(host)
            host.signal(signal.SIGKILL)
        await asyncio.gather(*(host.wait() for host in self.hosts if host.is_running))
        await asyncio.gather(*(host.start() for host in self.hosts))
        for host in self.hosts:
            self.end_disturbance(host)
        deadline_ms = now_ms() + int(RECOVERY_LIMIT_S * 1_000)
        while not await self._are_callers_served():
            if now_ms() > deadline_ms:
                self.invariants.report(
                    f"recovery: not served {RECOVERY_LIMIT_S} s after all hosts were back"
                )
                return

    async def _are_callers_served(self) -> bool:
        served, attempts = self.served, self.attempts
        await asyncio.sleep(RECOVERY_SAMPLE_INTERVAL_S)
        attempts_since = self.attempts - attempts
        return bool(attempts_since) and self.served - served >= MIN_SERVED_RATIO * attempts_since

    async def check_stop(self) -> None:
        """Stop all hosts; each must exit within its grace period."""
        for host in self.hosts:
            self.begin_disturbance(host)
            host.signal(signal.SIGTERM)
        for host in self.hosts:
            try:
                async with asyncio.timeout(START_LIMIT_S):
                    status = await host.wait()
            except TimeoutError:
                status = None
            if status != 0 and not (status == -signal.SIGTERM and host.is_starting):
                self.invariants.report(f"stop: {host.name} ended with {status}")

    def begin_disturbance(self, host: HostProcess) -> None:
        """Record that a host is disturbed and its process may end."""
        self.disturbances.begin(host.address)

    def end_disturbance(self, host: HostProcess) -> None:
        """Record that a disturbance of a host has ended."""
        self.disturbances.end(host.address)

    async def _add_host(self, number: int, address: str, port: int, peer_port: int) -> None:
        proxy = StoreProxy(address=address, target=(STORE_ADDRESS, self.store.port))
        await proxy.start()
        self.proxies[address] = proxy
        domains = FAILURE_DOMAINS if self._limits_slow_start else FAILURE_DOMAINS[:1]
        host = HostProcess(
            name=f"entry-{number}",
            address=address,
            port=port,
            peer_port=peer_port,
            store=(address, proxy.port),
            folder=self._folder,
            program=self._program,
            failure_domain=domains[number % len(domains)],
            further_settings=SLOW_START_SETTINGS if self._limits_slow_start else "",
        )
        self.hosts.append(host)
        self.disturbances.record_moment(address)
        await host.start()

    async def _run_caller(self) -> None:
        """Open flows one after the other, and send requests on each flow."""
        while True:
            destination = self.random.choice(list(DESTINATIONS.values()))
            port, flow = self.callers.open_routed(destination)
            self.attempts += 1
            if not await flow.open(("", 0)):
                await asyncio.sleep(REQUEST_INTERVAL_S[1])
                continue
            self.served += 1
            await self._send_requests(port, flow, destination)
            self.invariants.open_flows.pop(port, None)

    async def _send_requests(self, port: int, flow, destination: tuple[str, int]) -> None:
        key = (int(IPv4Address(destination[0])), destination[1])
        for _ in range(self.random.randint(*REQUESTS_PER_FLOW)):
            self.attempts += 1
            answer = await flow.send_request(("", 0), "request")
            if answer is None:
                return
            self.served += 1
            if port not in self.invariants.open_flows and answer in self.servers:
                self.invariants.open_flows[port] = OpenFlow(self.servers[answer], key)
            self.invariants.on_answer(port, answer)
            await asyncio.sleep(self.random.uniform(*REQUEST_INTERVAL_S))

    async def _watch_processes(self) -> None:
        """Report each process that ended unexpectedly, once."""
        reported: set[str] = set()
        while True:
            await asyncio.sleep(PROCESS_CHECK_INTERVAL_S)
            for host in self.hosts:
                if host.is_running:
                    reported.discard(host.name)
                elif host.name not in reported and self._ended_unexpectedly(host):
                    reported.add(host.name)
                    self.invariants.report(f"process: {host.name} ended with {host.exit_status}")

    def _ended_unexpectedly(self, host: HostProcess) -> bool:
        return host.exit_status not in EXPECTED_EXIT_STATUSES or self.disturbances.is_undisturbed(
            host.address
        )

    async def _detect_pauses(self) -> None:
        """Record pauses of the event loop of the soak itself as a disturbance of all hosts."""
        while True:
            before_ms = now_ms()
            await asyncio.sleep(PAUSE_CHECK_INTERVAL_S)
            if now_ms() - before_ms > 2_000 * PAUSE_CHECK_INTERVAL_S:
                self.disturbances.record_moment("machine")
