"""The deployment of the demo: entry hosts, backend servers and the configuration file."""

from __future__ import annotations

import socket
import uuid
from collections.abc import Iterable
from random import Random
from typing import NamedTuple

import zmq

from redwingswitch._internal.configuration.document import (
    CONFIGURATION_KEY,
    encode_document,
    make_document,
)
from redwingswitch._internal.daemon.assembly import (
    entry_host_factory,
    new_incarnation,
    parse_document,
)
from redwingswitch._internal.daemon.entry import EntryDaemon
from redwingswitch._internal.daemon.parameters import DaemonParameters
from redwingswitch._internal.models.configuration import Document
from redwingswitch._internal.models.events import ListedHost
from redwingswitch._internal.models.identifiers import FlowKey, PacketKind
from redwingswitch._internal.network.peers import PeerKeys
from redwingswitch._internal.ports import Clock, ConfigStore, KeyPrecondition
from redwingswitch._internal.settings import SeedSettings
from redwingswitch._internal.standins.backend_server import BackendServerStandin
from redwingswitch._internal.standins.fabric import Fabric, FabricHost
from redwingswitch._internal.standins.host_list import LaggingHostList
from redwingswitch._internal.standins.reserved_ports import ReservedPort
from redwingswitch._internal.standins.stream_caller import StreamCallers

FAILURE_DOMAINS = ("hobart", "bruny", "huon")
ENTRY_HOST_COUNT = 7
SEED_COUNT = 2
GRACE_PERIOD_MS = 15_000
HOST_LIST_LAG_MS = 3_000
IDLE_LIMIT_S = 900


class DemoService(NamedTuple):
    """A service of the demo."""

    name: str
    address: str
    port: int
    servers: int
    idempotent: bool
    size_class: str

    @property
    def destination(self) -> tuple[bytes, int]:
        """Return the address and port that callers send packets to."""
        return socket.inet_aton(self.address), self.port


JOB_BOARD = DemoService("job-board", "10.1.0.1", 443, 7, False, "short")
PHOTOS = DemoService("photos", "10.1.0.2", 443, 3, True, "long")
SERVICES = (JOB_BOARD, PHOTOS)


class DemoFleet:
    """All hosts and servers of the deployment, as objects on one event loop."""

    def __init__(
        self,
        *,
        clock: Clock,
        random_source: Random,
        store: ConfigStore,
        fabric: Fabric,
        entry_host_count: int = ENTRY_HOST_COUNT,
        services: tuple[DemoService, ...] = SERVICES,
    ) -> None:
        self.clock = clock
        self.store: ConfigStore = store
        self.fabric = fabric
        self.daemons: dict[str, EntryDaemon] = {}
        self.servers: dict[str, BackendServerStandin] = {}
        self.streams = StreamCallers(address="127.0.0.1", fabric=fabric)
        self.host_list = LaggingHostList(clock=clock, lag_ms=HOST_LIST_LAG_MS)
        self._random = random_source
        self._keys: dict[str, PeerKeys] = {}
        self._server_states: dict[str, str] = {}
        self._document: Document | None = None
        self._entry_host_count = entry_host_count
        self._services = services
        self._reserved_ports = {service.name: ReservedPort() for service in services}
        self.listen_ports = {name: port.number for name, port in self._reserved_ports.items()}

    async def start(self) -> None:
        """Bind all sockets, accept the first configuration file and start the entry hosts."""
        for service in self._services:
            for number in range(1, service.servers + 1):
                await self.add_server(f"{service.name}-{number}", service)
        for number in range(1, self._entry_host_count + 1):
            self._add_daemon(f"entry-{number}", FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)])
        await self.apply()
        self.publish_hosts(self.daemons)
        seeds = tuple(self._build_seed(name) for name in list(self.daemons)[:SEED_COUNT])
        for daemon in self.daemons.values():
            await daemon.start(seeds=seeds)

    async def add_server(self, name: str, service: DemoService) -> None:
        """Start a backend server; it gets work once an accepted configuration file lists it."""
        server = BackendServerStandin(
            name=name,
            service=service.name,
            address="127.0.0.1",
            destination=service.destination,
            clock=self.clock,
            on_return=lambda flow, kind, _: self._on_return(name, flow, kind),
        )
        await server.start()
        self.servers[name] = server
        self._server_states[name] = "active"

    def drain_server(self, name: str) -> None:
        """Mark a backend server as draining in the next configuration file."""
        self._server_states[name] = "draining"

    async def apply(self) -> int:
        """Accept the current deployment as the next revision and return its number."""
        stored = await self.store.get(CONFIGURATION_KEY)
        revision = self._document["revision"] + 1 if self._document else 1
        self._document = make_document(
            text=self.file_text(),
            revision=revision,
            apply_id=uuid.UUID(int=self._random.getrandbits(128)).hex,
            operator="demo",
            previous=self._document,
        )
        parse_document(self._document)
        version = await self.store.compare_and_swap(
            key=CONFIGURATION_KEY,
            value=encode_document(self._document),
            expected=[KeyPrecondition(CONFIGURATION_KEY, stored.version if stored else 0)],
        )
        assert version is not None, "the store refused the write, although there is no other writer"
        return revision

    def publish_hosts(self, names: Iterable[str]) -> None:
        """Publish the entry hosts to the fabric and the lagging host list."""
        hosts = sorted(names)
        self.fabric.update_hosts([self._fabric_host(name) for name in hosts])
        self.host_list.publish([ListedHost(name, leaving=False) for name in hosts])

    def revisions(self, names: Iterable[str]) -> list[int]:
        """Return the revision in force at each of the named entry hosts."""
        return [int(str(self.daemons[name].status().get("revision", 0))) for name in names]

    async def close(self) -> None:
        """Close all entry hosts, servers and callers."""
        for daemon in self.daemons.values():
            await daemon.close()
        for server in self.servers.values():
            server.close()
        self.streams.close()
        for port in self._reserved_ports.values():
            port.close()

    def file_text(self) -> str:
        """Return the configuration file of the current deployment."""
        tables = [
            _format_table("failure_domains", name=d, region="south", link_cost_ms=5)
            for d in FAILURE_DOMAINS
        ]
        tables += [self._format_entry_host(name) for name in self.daemons]
        tables += [self._format_service(service) for service in self._services]
        tables += [self._format_server(name) for name in self.servers]
        return "\n".join(tables)

    def _add_daemon(self, name: str, failure_domain: str) -> None:
        public, secret = zmq.curve_keypair()
        keys = PeerKeys(public.decode("ascii"), secret.decode("ascii"))
        self._keys[name] = keys
        number = len(self.daemons) + 1
        self.daemons[name] = EntryDaemon(
            parameters=DaemonParameters(
                host=name,
                failure_domain=failure_domain,
                # Each host needs its own address, because all hosts listen on the same ports.
                address=f"127.0.1.{number}",
                peer_port=0,
                data_port=0,
                request_port=0,
                admin_port=0,
                keys=keys,
                grace_period_ms=GRACE_PERIOD_MS,
            ),
            incarnation=new_incarnation(self._random),
            clock=self.clock,
            random_source=Random(self._random.getrandbits(64)),
            store=self.store,
            host_list=self.host_list,
            parse_document=parse_document,
            make_entry_host=entry_host_factory(
                host=name,
                failure_domain=failure_domain,
                random_source=Random(self._random.getrandbits(64)),
            ),
        )

    def _build_seed(self, name: str) -> SeedSettings:
        daemon = self.daemons[name]
        parameters = daemon.parameters
        return SeedSettings(
            name,
            parameters.failure_domain,
            parameters.address,
            daemon.ports.peer_port,
            parameters.keys.public_key,
        )

    def _fabric_host(self, name: str) -> FabricHost:
        daemon = self.daemons[name]
        ports = daemon.ports
        return FabricHost(name, daemon.parameters.address, ports.data_port, ports.request_port)

    def _on_return(self, server: str, flow: FlowKey, kind: PacketKind) -> None:
        self.streams.on_return(server, flow, kind)

    def _format_entry_host(self, name: str) -> str:
        daemon = self.daemons[name]
        return _format_table(
            "entry_hosts",
            name=name,
            failure_domain=daemon.parameters.failure_domain,
            address=daemon.parameters.address,
            **daemon.ports._asdict(),
            public_key=self._keys[name].public_key,
        )

    def _format_service(self, service: DemoService) -> str:
        return _format_table(
            "services",
            name=service.name,
            address=service.address,
            port=service.port,
            listen_port=self.listen_ports[service.name],
            takes_streams=True,
            takes_requests=True,
            idempotent=service.idempotent,
            size_class=service.size_class,
            expected_service_ms=50,
            idle_limit_s=IDLE_LIMIT_S,
        )

    def _format_server(self, name: str) -> str:
        server = self.servers[name]
        return _format_table(
            "backend_servers",
            name=name,
            service=server.service,
            failure_domain=FAILURE_DOMAINS[int(name.rpartition("-")[2]) % len(FAILURE_DOMAINS)],
            address=server.address,
            **server.ports._asdict(),
            slots=2,
            connection_limit=2_000,
            state=self._server_states[name],
        )


def _format_table(section: str, **fields: object) -> str:
    lines = [f"[[{section}]]"]
    for key, value in fields.items():
        formatted = str(value).lower() if isinstance(value, bool | int) else f"'{value}'"
        lines.append(f"{key} = {formatted}")
    return "\n".join(lines) + "\n"
