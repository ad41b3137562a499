"""A small deployment for the scripts of the review, on loopback addresses.

The hosts are the project's program, started as separate processes with the command of the deploy
file. The platform's store, the backend servers and the callers are the project's own stand-ins. A
proxy stands between each host and the store.
"""

from __future__ import annotations

import asyncio
import ctypes
import os
import shlex
import signal
import socket
import struct
import sys
import time
import tomllib
from pathlib import Path

from redwingswitch._internal.platform.standins.documents import (
    StandinRoute,
    build_configuration,
    build_server_entry,
)
from redwingswitch._internal.platform.standins.flows import (
    OPEN,
    RESET,
    TUNNEL_PREFIX_BYTES,
    Flow,
    PlatformCallerStandin,
    PlatformServerStandin,
    decode,
)
from redwingswitch._internal.platform.standins.store import PlatformStoreStandin
from redwingswitch._internal.standins.reserved_ports import ReservedPort

ROOT = Path(__file__).resolve().parents[2]
STORE_ADDRESS = "127.0.0.1"
CALLER_ADDRESS = "127.0.0.2"
FIRST_HOST_ADDRESS = "127.0.1."
ZONE = "huon"
ROUTE = ("198.18.0.1", 443)
SERVICE = "jobboard"
# The figures of the small installations.
DRAIN_MS = 3_000
STABLE_WINDOW_MS = 4_000
CONFIG_APPLY_MS = 3_000
GRACE_S = 6
LINK_MBPS = 1000.0
START_LIMIT_S = 20.0
CHUNK_BYTES = 65_536
SO_ATTACH_FILTER = 26
# One instruction of the classic packet filter: accept 0 bytes of each packet.
DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)

# The exit status of a case; run.sh turns it into 1, 0 and 2.
CASE_BROKEN, CASE_HELD, CASE_COULD_NOT_RUN = 10, 0, 2


class Record:
    """Writes what was sent, answered and run to a file, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._start

    def write(self, text: str) -> None:
        self._file.write(f"{self.now():9.3f} {text}\n")

    def close(self) -> None:
        self._file.close()


class StoreConnection:
    """One connection of a host to the store, forwarded by a proxy."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        # Path of the latest call on this connection, and whether it waits for its response.
        self.latest_call = ""
        self.is_waiting = False
        self.is_silent = False
        self.is_open = True

    def silence(self) -> None:
        """Drop all that arrives from the host, acknowledgements included, and send nothing.

        The filter is attached to the proxy's own socket, so that the host's TCP gets no
        acknowledgement of data and no answer to keep-alive probes.
        """
        self.is_silent = True
        program = ctypes.create_string_buffer(DROP_ALL)
        filter_program = struct.pack("HL", 1, ctypes.addressof(program))
        self.writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, SO_ATTACH_FILTER, filter_program
        )


class StoreProxy:
    """Forwards a host's connections to the store."""

    def __init__(self, *, address: str, target_port: int, link_mbps: float | None = None) -> None:
        self._address = address
        self._target_port = target_port
        self._link_mbps = link_mbps
        self._link = asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()
        self.connections: list[StoreConnection] = []
        self.port = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self._address, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def watch_connections(self) -> list[StoreConnection]:
        """Return the open connections whose latest call is a watch."""
        return [c for c in self.connections if c.is_open and c.latest_call == "/v1/kv-watch"]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        connection = StoreConnection(writer)
        self.connections.append(connection)
        try:
            store_reader, store_writer = await asyncio.open_connection(
                STORE_ADDRESS, self._target_port
            )
            try:
                copies = {
                    asyncio.create_task(self._copy_calls(reader, store_writer, connection)),
                    asyncio.create_task(self._copy_responses(store_reader, writer, connection)),
                }
                await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
                for copy in copies:
                    copy.cancel()
                await asyncio.gather(*copies, return_exceptions=True)
                if connection.is_silent:
                    # A silent connection stays open on this side.
                    await asyncio.Event().wait()
            finally:
                store_writer.transport.abort()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            connection.is_open = False
            writer.transport.abort()
            self._tasks.discard(task)

    async def _copy_calls(
        self,
        reader: asyncio.StreamReader,
        store_writer: asyncio.StreamWriter,
        connection: StoreConnection,
    ) -> None:
        while chunk := await reader.read(CHUNK_BYTES):
            words = chunk.split(b" ", 2)
            if words[0] in (b"GET", b"POST", b"DELETE"):
                connection.latest_call = words[1].decode().partition("?")[0]
                connection.is_waiting = True
            store_writer.write(chunk)

    async def _copy_responses(
        self,
        store_reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: StoreConnection,
    ) -> None:
        while chunk := await store_reader.read(CHUNK_BYTES):
            connection.is_waiting = False
            if self._link_mbps is not None:
                # All connections of a host share its link, one chunk each in turn.
                async with self._link:
                    await asyncio.sleep(len(chunk) * 8 / (self._link_mbps * 1_000_000))
            if not connection.is_silent:
                writer.write(chunk)
                await writer.drain()


class Host:
    """The program on one machine: its settings file, its process and its log."""

    def __init__(self, *, number: int, site: Site, link_mbps: float | None) -> None:
        """``link_mbps`` limits what the host gets from the store; None does not limit it."""
        self.address = f"{FIRST_HOST_ADDRESS}{number}"
        self.name = f"edge-{ZONE}-{number}"
        self.log = site.folder / f"{self.name}.log"
        self.proxy = StoreProxy(
            address=self.address, target_port=site.store.port, link_mbps=link_mbps
        )
        self.link_mbps = link_mbps or LINK_MBPS
        self._site = site
        self._process: asyncio.subprocess.Process | None = None

    @property
    def endpoint(self) -> tuple[str, int]:
        return (self.address, self._site.port)

    async def start(self, *, zone: str = ZONE) -> None:
        if not self.proxy.port:
            await self.proxy.start()
        settings = self._site.folder / f"{self.name}.toml"
        settings.write_text(
            f'host = "{self.name}"\n'
            f'failure_domain = "{zone}"\n'
            f'steering = "{self.address}:{self._site.port}"\n'
            f'readiness = "{self.address}:{self._site.port}"\n'
            'readiness_path = "/v1/ready"\n'
            f'store = "{self.address}:{self.proxy.port}"\n'
            f"grace_period_s = {GRACE_S}\n"
            f'peers = "{self.address}:{self._site.peer_port}"\n'
            f"list_age_limit_ms = {self._site.drain_ms}\n"
            f"link_mbps = {self.link_mbps}\n"
        )
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *deploy_command(),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": str(self._site.folder),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "REDWINGSWITCH_SETTINGS": str(settings),
                },
            )

    def signal(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    @property
    def exit_status(self) -> int | None:
        return None if self._process is None else self._process.returncode

    async def wait(self) -> int:
        assert self._process is not None
        return await self._process.wait()

    async def kill(self) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    async def close(self) -> None:
        await self.kill()
        if self.proxy.port:
            await self.proxy.close()

    async def is_ready(self) -> bool:
        """Ask for the readiness as the platform's routers do."""
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(*self.endpoint)
                try:
                    writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    return (await reader.readline()).startswith(b"HTTP/1.1 200")
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False

    def log_lines(self, *texts: str) -> list[str]:
        """Return the log lines that contain one of the texts."""
        lines = self.log.read_text(errors="replace").splitlines()
        return [f"{self.name}: {line}" for line in lines if any(text in line for text in texts)]


class Server(PlatformServerStandin):
    """A backend server that records the opening packets that reach it."""

    def __init__(self, *, number: int, site: Site) -> None:
        super().__init__(name=f"i-{number:08x}", number=number, caller_port=site.port)
        self._site = site
        self.service = SERVICE
        self.sequence = 0
        self.draining_since: float | None = None
        # Time of arrival, address of the host that sent it, port of the caller.
        self.openings: list[tuple[float, str, int]] = []

    def on_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        if self.is_responding and data[:TUNNEL_PREFIX_BYTES] == self._tunnel_prefix:
            packet = decode(data[TUNNEL_PREFIX_BYTES:])
            if packet.flags & OPEN:
                now = self._site.record.now()
                self.openings.append((now, sender[0], packet.source_port))
                self._site.record.write(
                    f"{self.name} opening packet of port {packet.source_port} from {sender[0]}"
                )
        super().on_datagram(data, sender)

    def report(self, state: str) -> float:
        """Write the entry to the store; return the time of the acknowledgement."""
        self.sequence += 1
        entry = build_server_entry(
            service=self.service,
            address=f"{STORE_ADDRESS}:{self.port}",
            zone=ZONE,
            state=state,
            sequence=self.sequence,
        )
        self._site.store.put(f"servers/{self.name}", entry)
        acknowledged = self._site.record.now()
        if state == "draining":
            self.draining_since = acknowledged
        self._site.record.write(f"{self.name} reported {state}, acknowledged by the store")
        return acknowledged

    def end(self) -> None:
        """End after a drain: the process stops and its entry is removed."""
        self.is_responding = False
        self.close()
        self._site.store.remove(f"servers/{self.name}")
        self._site.record.write(f"{self.name} ended, its entry is removed")


class Callers(PlatformCallerStandin):
    """Callers that note resets."""

    def __init__(self, *, site: Site) -> None:
        super().__init__(address=CALLER_ADDRESS)
        self._site = site
        # Time, address of the sender, port of the caller.
        self.resets: list[tuple[float, str, int]] = []

    def on_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        packet = decode(data)
        if packet.flags & RESET:
            now = self._site.record.now()
            self.resets.append((now, sender[0], packet.destination_port))
            self._site.record.write(f"reset to port {packet.destination_port} from {sender[0]}")
        super().on_datagram(data, sender)


class Site:
    """The store, the callers, the backend servers and the hosts."""

    def __init__(
        self,
        *,
        folder: Path,
        record: Record,
        drain_ms: int = DRAIN_MS,
    ) -> None:
        self.drain_ms = drain_ms
        self.folder = folder
        self.record = record
        self.store = PlatformStoreStandin()
        self.hosts: list[Host] = []
        self.servers: list[Server] = []
        self._ports = (ReservedPort(), ReservedPort())
        self.port = self._ports[0].number
        self.peer_port = self._ports[1].number
        self.callers = Callers(site=self)

    async def start(self) -> None:
        self.store.start()
        await self.callers.start(port=self.port)

    async def close(self) -> None:
        for host in self.hosts:
            await host.close()
        for server in self.servers:
            server.close()
        self.callers.close()
        await self.store.close()
        for port in self._ports:
            port.close()

    def configure(self, *, version: int, routes: list[StandinRoute]) -> float:
        """Write a configuration; return the time of the acknowledgement."""
        self.store.put("op/config", build_configuration(version=version, routes=routes))
        self.record.write(
            f"configuration {version} acknowledged by the store: {len(routes)} routes, last "
            f"{routes[-1].address}:{routes[-1].port}"
        )
        return self.record.now()

    async def add_server(self) -> Server:
        server = Server(number=len(self.servers) + 1, site=self)
        await server.start()
        self.servers.append(server)
        server.report("ready")
        return server

    async def add_host(self, *, zone: str = ZONE, link_mbps: float | None = None) -> Host:
        host = Host(number=len(self.hosts) + 1, site=self, link_mbps=link_mbps)
        self.hosts.append(host)
        await host.start(zone=zone)
        return host

    async def wait_until_ready(self) -> None:
        async with asyncio.timeout(START_LIMIT_S):
            for host in self.hosts:
                while not await host.is_ready():
                    await asyncio.sleep(0.1)

    async def request(self, host: Host, destination: tuple[str, int] = ROUTE) -> str:
        """Open a flow through a host and send a request on it; return how it ended."""
        flow: Flow = self.callers.create_flow(destination)
        port = flow._port
        self.record.write(f"port {port} opens a flow to {destination[0]} through {host.address}")
        if not await flow.open(host.endpoint):
            result = "not opened"
        else:
            result = await flow.send_request(host.endpoint, "request") or "no answer"
        self.record.write(f"port {port}: {result}")
        return result


def deploy_command() -> list[str]:
    """Return the command of the deploy file."""
    with (ROOT / "deploy" / "system.toml").open("rb") as file:
        return shlex.split(tomllib.load(file)["roles"]["steering"]["run"])


def has_trouble() -> bool:
    """Return whether to play the disruption; ``run.sh`` passes TROUBLE as an argument."""
    return "--trouble=0" not in sys.argv[1:]
