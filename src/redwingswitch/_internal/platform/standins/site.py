"""A steering site in one process: daemons, a store, backend servers and callers on loopback."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

from redwingswitch._internal.daemon.steering_daemon import SteeringDaemon
from redwingswitch._internal.exceptions import FlowRefusedError
from redwingswitch._internal.network.sockets import bind_datagram_socket
from redwingswitch._internal.platform.packets import PlatformPacketCodec
from redwingswitch._internal.platform.standins.documents import (
    StandinRoute,
    build_configuration,
    build_server_entry,
)
from redwingswitch._internal.platform.standins.flows import (
    Flow,
    PlatformCallerStandin,
    PlatformServerStandin,
)
from redwingswitch._internal.platform.standins.store import PlatformStoreStandin
from redwingswitch._internal.platform.store import PlatformStore
from redwingswitch._internal.settings import LogLevel
from redwingswitch._internal.standins.reserved_ports import ReservedPort
from redwingswitch._internal.steering_settings import Endpoint, SteeringSettings
from redwingswitch._internal.utils.clocks import BootClock, MonotonicClock

STORE_ADDRESS = "127.0.0.1"
CALLER_ADDRESS = "127.0.0.2"
HOST_ADDRESSES = ("127.0.0.1", "127.0.0.3", "127.0.0.4")
# For sites of two failure domains.
FURTHER_HOST_ADDRESSES = ("127.0.0.5", "127.0.0.6", "127.0.0.7")
DESTINATION = ("198.18.0.1", 443)
GRACE_PERIOD_MS = 3_000
STORE_TIMEOUT_MS = 300
LIST_AGE_LIMIT_MS = 3_000
OUT_OF_SERVICE_LIMIT_MS = 5_000
# All hosts are in the first one unless a test says otherwise.
FAILURE_DOMAIN = "huon"
OTHER_FAILURE_DOMAIN = "hobart"


class RunningHost:
    """A steering daemon and the task that runs it."""

    def __init__(self, *, daemon: SteeringDaemon, address: tuple[str, int]) -> None:
        self.daemon = daemon
        self.address = address
        self.task = asyncio.create_task(daemon.run())

    async def kill(self) -> None:
        """End the daemon without a graceful stop."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


class SteeringSite:
    """A site whose hosts and callers use one port number on different addresses."""

    def __init__(self) -> None:
        self.store = PlatformStoreStandin()
        self.callers = PlatformCallerStandin(address=CALLER_ADDRESS)
        self.servers: dict[str, PlatformServerStandin] = {}
        self.hosts: list[RunningHost] = []
        self._started: list[RunningHost] = []
        self._caller_port = ReservedPort()
        self._peer_port = ReservedPort()
        self._entry_sequence = 0

    async def __aenter__(self) -> SteeringSite:
        self.store.start()
        await self.callers.start(port=self._caller_port.number)
        return self

    async def __aexit__(self, *_error: object) -> None:
        for host in self.hosts:
            await host.kill()
        for server in self.servers.values():
            server.close()
        self.callers.close()
        await self.store.close()
        self._caller_port.close()
        self._peer_port.close()

    def configure(
        self, *routes: StandinRoute, version: int = 1, slow_start_per_s: float = 0
    ) -> None:
        """Write a configuration; its default is one route to the job board."""
        configured = routes or (StandinRoute(*DESTINATION, "job-board"),)
        self.store.put(
            "op/config",
            build_configuration(
                version=version, routes=configured, slow_start_per_s=slow_start_per_s
            ),
        )

    async def add_server(
        self,
        number: int,
        *,
        service: str = "job-board",
        failure_domain: str = FAILURE_DOMAIN,
        slow_start_left_ms: int = 0,
    ) -> PlatformServerStandin:
        """Start a backend server and write its entry into the store."""
        name = f"i-{number:08x}"
        server = PlatformServerStandin(name=name, number=number, caller_port=self.callers.port)
        await server.start()
        self.servers[name] = server
        self.list_server(
            server,
            service=service,
            failure_domain=failure_domain,
            slow_start_left_ms=slow_start_left_ms,
        )
        return server

    def list_server(
        self,
        server: PlatformServerStandin,
        *,
        service: str = "job-board",
        state: str = "ready",
        failure_domain: str = FAILURE_DOMAIN,
        slow_start_left_ms: int = 0,
    ) -> None:
        """Write a server's entry into the store."""
        self._entry_sequence += 1
        entry = build_server_entry(
            service=service,
            address=f"127.0.0.1:{server.port}",
            zone=failure_domain,
            state=state,
            sequence=self._entry_sequence,
            slow_start_left_ms=slow_start_left_ms,
        )
        self.store.put(f"servers/{server.name}", entry)

    def add_host(
        self,
        number: int = 0,
        *,
        settings_file: Path | None = None,
        failure_domain: str = FAILURE_DOMAIN,
        load_sharing: bool = False,
    ) -> RunningHost:
        """Start a steering daemon."""
        host_address = (HOST_ADDRESSES + FURTHER_HOST_ADDRESSES)[number]
        address = (host_address, self.callers.port)
        settings = SteeringSettings(
            host=f"entry-{number}",
            failure_domain=failure_domain,
            steering=Endpoint(*address),
            readiness=Endpoint(host_address, 0),
            readiness_path="/ready",
            metrics=None,
            peers=Endpoint(host_address, self._peer_port.number),
            store=Endpoint(STORE_ADDRESS, self.store.port),
            store_timeout_ms=STORE_TIMEOUT_MS,
            grace_period_ms=GRACE_PERIOD_MS,
            list_age_limit_ms=LIST_AGE_LIMIT_MS,
            link_mbps=None,
            log_level=LogLevel.INFO,
            failure_domains=(FAILURE_DOMAIN, OTHER_FAILURE_DOMAIN),
            out_of_service_limit_ms=OUT_OF_SERVICE_LIMIT_MS,
            load_sharing=load_sharing,
        )
        daemon = SteeringDaemon(
            settings=settings,
            settings_file=settings_file,
            store=PlatformStore(
                address=STORE_ADDRESS,
                port=self.store.port,
                timeout_ms=STORE_TIMEOUT_MS,
                failure_domain=failure_domain,
            ),
            codec=PlatformPacketCodec(),
            clock=MonotonicClock(),
            age_clock=BootClock(),
            # Each start draws another incarnation.
            random_source=random.Random(len(self._started)),
            bound_socket=bind_datagram_socket(*address),
        )
        host = RunningHost(daemon=daemon, address=address)
        self.hosts.append(host)
        self._started.append(host)
        return host

    async def open_flow(self, host: RunningHost) -> Flow:
        """Open a flow through a host; raise FlowRefusedError if it does not open."""
        flow = self.callers.create_flow(DESTINATION)
        if not await flow.open(host.address):
            raise FlowRefusedError(
                f"no flow opened through {host.address[0]}; see the host's log lines for its reason"
            )
        return flow
