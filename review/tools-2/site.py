"""Stand-ins for scripts: the platform's store, its routers, backends and clients, on loopback.

Everything runs in one event loop; the daemons under test are separate processes, started with the
command of the deploy file. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import shlex
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse
import zlib
from collections.abc import Awaitable, Callable
from ipaddress import IPv4Address
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parents[2]
HEADER = struct.Struct("<HIIIIHHIIB3x")
SYN, ACK, FIN, RST = 64, 4, 128, 1
CHECKSUM_KEY = b"a key that only the two ends know"
STORE_ANSWER_S = 0.004
READY_INTERVAL_S = 0.5
READY_MISSES = 2
CLIENT_ADDRESS = "127.0.0.100"
BACKEND_ADDRESS = "127.0.0.50"
STORE_ADDRESS = "127.0.0.200"


class Record:
    """Writes lines with the time since the start of the case, and keeps them for the judgement."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start_s = time.monotonic()

    def now_s(self) -> float:
        return time.monotonic() - self._start_s

    def line(self, text: str) -> None:
        self._file.write(f"{self.now_s():8.3f} s  {text}\n")
        self._file.flush()

    def text(self, text: str) -> None:
        self._file.write(text + "\n")
        self._file.flush()


def free_port(addresses: list[str]) -> int:
    """Return a port that is free for TCP and UDP on all addresses."""
    for _ in range(200):
        port = random.randrange(20_000, 32_000)
        sockets = []
        try:
            for address in addresses:
                for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                    each = socket.socket(socket.AF_INET, kind)
                    sockets.append(each)
                    each.bind((address, port))
        except OSError:
            continue
        finally:
            for each in sockets:
                each.close()
        return port
    raise RuntimeError("no free port")


# --- the store -----------------------------------------------------------------------------------


class Store:
    """The platform's store: revisions, watches, conditional writes; answers after 4 ms."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.revision = 1
        self.items: dict[str, tuple[int, int, bytes]] = {}
        self.history: list[tuple[int, str, bytes | None]] = []
        self.answer_s = STORE_ANSWER_S
        self.port = 0
        # Called with the body of each conditional write before it is answered.
        self.on_transaction: Callable[[dict], Awaitable[None] | None] | None = None
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, STORE_ADDRESS, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, key: str, value: object) -> int:
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items[key][1] if key in self.items else self.revision
        self.items[key] = (self.revision, created, content)
        self._note(key, content)
        return self.revision

    def remove(self, key: str) -> int:
        self.revision += 1
        self.items.pop(key, None)
        self._note(key, None)
        return self.revision

    def _note(self, key: str, content: bytes | None) -> None:
        self.history.append((self.revision, key, content))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await reader.readuntil(b"\r\n\r\n")
                head, *lines = request.decode().split("\r\n")
                method, target, _ = head.split(" ")
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in lines if line)
                }
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                status, answer = await self._answer(method, target, body)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, method: str, target: str, body: bytes) -> tuple[int, dict]:
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text, keep_blank_values=True))
        if path == "/v1/kv-watch":
            return await self._watch(query)
        if path == "/v1/kv-txn" and method == "POST":
            return await self._transact(json.loads(body))
        if path == "/v1/kv-key":
            found = self.items.get(query["Key"])
            answer = (404, {})
            if found is not None:
                answer = (200, {**_item(query["Key"], found), "StoreRevision": self.revision})
        elif path == "/v1/kv-range":
            prefix, after = query.get("Prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            answer = (
                200,
                {
                    "items": [_item(k, self.items[k]) for k in keys[:500]],
                    "HasMore": len(keys) > 500,
                    "StoreRevision": self.revision,
                },
            )
        else:
            answer = (404, {})
        await asyncio.sleep(self.answer_s)
        return answer

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        after, prefix = int(query["after"]), query.get("Prefix", "")
        deadline_s = time.monotonic() + int(query["WaitMs"]) / 1_000
        while True:
            changed = self._changed
            if after > self.revision:
                return 410, {}
            events = [e for e in self.history if e[0] > after and e[1].startswith(prefix)]
            left_s = deadline_s - time.monotonic()
            if events or left_s <= 0:
                answer = (
                    200,
                    {"events": [_event(*e) for e in events], "StoreRevision": self.revision},
                )
                await asyncio.sleep(self.answer_s)
                return answer
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    async def _transact(self, body: dict) -> tuple[int, dict]:
        expected = {row["Key"]: row["Revision"] for row in body["ExpectedRev"]}
        if any(self.items.get(k, (0,))[0] != revision for k, revision in expected.items()):
            items = [_item(k, self.items[k]) for k in expected if k in self.items]
            await asyncio.sleep(self.answer_s)
            return 412, {"items": items}
        for row in body["SetKeys"]:
            self.put(row["Key"], base64.b64decode(row["Value"]))
            self.record.line(f"store: {row['Key']} = {base64.b64decode(row['Value']).decode()}")
        for key in body["Remove"]:
            self.remove(key)
        revision = self.revision
        if self.on_transaction is not None:
            result = self.on_transaction(body)
            if result is not None:
                await result
        await asyncio.sleep(self.answer_s)
        return 200, {"Revision": revision}


def _item(key: str, found: tuple[int, int, bytes]) -> dict:
    revision, created, content = found
    value = base64.b64encode(content).decode()
    return {"Key": key, "Value": value, "Revision": revision, "Created": created, "Lease": 0}


def _event(revision: int, key: str, content: bytes | None) -> dict:
    if content is None:
        return {"Key": key, "Revision": revision, "Deleted": True}
    return _item(key, (revision, revision, content))


# --- packets -------------------------------------------------------------------------------------


class Packet:
    """A packet of either direction; ``checksum`` is wrong if a field was changed on the way."""

    __slots__ = ("ack", "data", "dport", "dst", "echo", "flags", "seq", "sport", "src", "sum")

    def __init__(self, **fields: object) -> None:
        for name in self.__slots__:
            setattr(self, name, fields.get(name, b"" if name == "data" else 0))

    def checksum(self) -> int:
        fields = (self.seq, self.ack, self.sport, self.dport, self.dst, self.src, self.flags & ~16)
        return zlib.crc32(repr(fields).encode() + self.data + CHECKSUM_KEY)

    def encode(self) -> bytes:
        return (
            HEADER.pack(
                len(self.data),
                self.echo,
                self.sum,
                self.seq,
                self.ack,
                self.sport,
                self.dport,
                self.dst,
                self.src,
                self.flags,
            )
            + self.data
        )

    @classmethod
    def decode(cls, datagram: bytes) -> Packet:
        _, echo, total, seq, ack, sport, dport, dst, src, flags = HEADER.unpack_from(datagram)
        return cls(
            echo=echo,
            sum=total,
            seq=seq,
            ack=ack,
            sport=sport,
            dport=dport,
            dst=dst,
            src=src,
            flags=flags,
            data=datagram[HEADER.size :],
        )


# --- backends ------------------------------------------------------------------------------------


class _BackendFlow:
    __slots__ = ("client", "echo", "is_open", "next_seq", "received", "unacked", "answered")

    def __init__(self, seq: int) -> None:
        self.next_seq = seq
        self.received = 0
        self.echo = 0
        self.is_open = False
        self.unacked = 0
        self.answered: dict[int, bytes] = {}


class Backend:
    """A backend with ``slots``, a queue, and room for ``max_conns`` flows.

    It works on a request for the number of milliseconds in the request's text.
    """

    def __init__(
        self,
        site: Site,
        name: str,
        service: str,
        zone: str,
        *,
        slots: int = 2,
        max_conns: int = 2_000,
    ) -> None:
        self.site, self.name, self.service, self.zone = site, name, service, zone
        self.slots, self.max_conns = slots, max_conns
        self.prefix = int(name.split("-")[-1], 16).to_bytes(8, "big")
        self.flows: dict[tuple[int, int, int], _BackendFlow] = {}
        self.resets: list[tuple[float, tuple[int, int, int]]] = []
        self.openings: list[tuple[float, tuple[int, int, int]]] = []
        self.refused_openings = 0
        self.state = "ready"
        self.born = int(time.time() * 1_000)
        self.report_number = 0
        self._working = asyncio.Semaphore(slots)
        self._socket = self._bind(0)
        self.port = self._socket.getsockname()[1]

    def write_entry(self) -> None:
        """Write the entry; reports that change no more than ``Seq`` do not change it."""
        self.report_number += 1
        self.site.store.put(
            f"servers/{self.name}",
            {
                "Service": self.service,
                "Address": f"{BACKEND_ADDRESS}:{self.port}",
                "Zone": self.zone,
                "Version": "v1",
                "Slots": self.slots,
                "State": self.state,
                "RampLeftMs": 0,
                "Seq": self.report_number,
                "born": self.born,
            },
        )

    def stop(self) -> None:
        """End the backend: it answers nothing and forgets its flows."""
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        self.flows.clear()

    def start_again(self) -> None:
        """Start again under the same id and address; nothing of before is known."""
        self._socket = self._bind(self.port)
        self.state = "ready"
        self.born = int(time.time() * 1_000)
        self.report_number = 0
        self.write_entry()
        self.site.record.line(f"{self.name}: starts again, ready")

    def _bind(self, port: int) -> socket.socket:
        bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
        bound.setblocking(False)
        bound.bind((BACKEND_ADDRESS, port))
        asyncio.get_running_loop().add_reader(bound, self._read)
        return bound

    def _read(self) -> None:
        for _ in range(256):
            try:
                datagram = self._socket.recv(65_535)
            except OSError:
                return
            if datagram[:8] not in (self.prefix, bytes(8)):
                continue
            self._on_packet(Packet.decode(datagram[8:]))

    def _on_packet(self, packet: Packet) -> None:
        if packet.sum != packet.checksum():
            self.site.record.line(f"{self.name}: a packet with a wrong sum")
            return
        key = (packet.src, packet.sport, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            self.openings.append((self.site.record.now_s(), key))
            if flow is None and len(self.flows) >= self.max_conns:
                self.refused_openings += 1
                self.site.record.line(f"{self.name}: full, no answer to {format_flow(key)}")
                return
            if flow is None:
                flow = self.flows[key] = _BackendFlow(random.getrandbits(32))
            flow.received = (packet.seq + 1) % 2**32
            self._send(packet, flow.next_seq, flow.received, SYN | ACK, b"", echo=packet.echo)
            return
        if flow is None:
            self.resets.append((self.site.record.now_s(), key))
            self._send(packet, packet.ack, 0, RST, b"")
            return
        if not flow.is_open:
            if packet.ack != (flow.next_seq + 1) % 2**32:
                return
            flow.is_open = True
            flow.next_seq = (flow.next_seq + 1) % 2**32
        flow.echo = packet.echo
        if packet.flags & FIN:
            self._send(packet, flow.next_seq, (packet.seq + 1) % 2**32, ACK, b"", echo=flow.echo)
            del self.flows[key]
            return
        if packet.data:
            self._on_data(packet, flow)

    def _on_data(self, packet: Packet, flow: _BackendFlow) -> None:
        if packet.seq != flow.received:
            # A copy. Each second packet is acknowledged.
            answer = flow.answered.get(packet.seq)
            if answer is not None:
                self._send(packet, packet.ack, flow.received, ACK, answer, echo=flow.echo)
            else:
                self._send(packet, flow.next_seq, flow.received, ACK, b"", echo=flow.echo)
            return
        flow.received = (packet.seq + len(packet.data)) % 2**32
        asyncio.get_running_loop().create_task(self._work(packet, flow))

    async def _work(self, packet: Packet, flow: _BackendFlow) -> None:
        async with self._working:
            text = packet.data.decode()
            key = (packet.src, packet.sport, packet.dport)
            self.site.record.line(f"{self.name}: runs {text!r} of {format_flow(key)}")
            await asyncio.sleep(float(text.split()[-1]) / 1_000)
        answer = f"{self.name} ran {text}".encode()
        flow.answered = {packet.seq: answer}
        self._send(packet, flow.next_seq, flow.received, ACK, answer, echo=flow.echo)
        flow.next_seq = (flow.next_seq + len(answer)) % 2**32

    def _send(
        self, to: Packet, seq: int, ack: int, flags: int, data: bytes, *, echo: int = 0
    ) -> None:
        packet = Packet(
            echo=echo,
            seq=seq,
            ack=ack,
            sport=to.dport,
            dport=to.sport,
            dst=to.src,
            src=to.dst,
            flags=flags,
            data=data,
        )
        packet.sum = packet.checksum()
        address = (str(IPv4Address(to.src)), self.site.packet_port)
        if self._socket.fileno() >= 0:
            self._socket.sendto(packet.encode(), address)


def format_flow(key: tuple[int, int, int]) -> str:
    return f"{IPv4Address(key[0])}:{key[1]}>{key[2]}"


# --- clients -------------------------------------------------------------------------------------


class Flow:
    """One flow of a client; each packet goes to the host that the routers select then."""

    def __init__(self, site: Site, port: int, destination: tuple[str, int]) -> None:
        self.site, self.port, self.destination = site, port, destination
        self.is_open = False
        self.was_reset = False
        self.opened_s = 0.0
        # The host that all packets go to; None if the routers select it.
        self.fixed_host: Host | None = None
        self._echo = 0
        self._seq = random.getrandbits(32)
        self._ack = 0
        self._received: asyncio.Queue[Packet] = asyncio.Queue()

    @property
    def key(self) -> tuple[int, int, int]:
        return (int(IPv4Address(CLIENT_ADDRESS)), self.port, self.destination[1])

    def host(self) -> Host | None:
        return self.fixed_host or self.site.route(self.port, self.destination)

    def on_packet(self, packet: Packet, sender: str) -> None:
        if packet.flags & RST:
            is_near = (packet.seq - self._ack + 76_800) % 2**32 <= 2 * 76_800
            if self.was_reset or (self.is_open and not is_near):
                return
            if packet.sum == 0:
                self.site.on_system_reset(self, sender)
            self.was_reset = True
        elif packet.sum != packet.checksum():
            self.site.record.line(f"client: a packet with a wrong sum on port {self.port}")
            return
        self._received.put_nowait(packet)

    async def open(self) -> bool:
        """Open the flow; return False if it is reset or not answered within 1.4 s."""
        for copy, wait_s in enumerate((0.2, 0.4, 0.8)):
            self._send(SYN, b"", ack=copy)
            try:
                async with asyncio.timeout(wait_s):
                    packet = await self._received.get()
            except TimeoutError:
                continue
            if packet.flags & RST:
                return False
            if packet.flags & SYN:
                self._seq = (self._seq + 1) % 2**32
                self._ack = (packet.seq + 1) % 2**32
                self._echo = packet.echo
                self.is_open = True
                self.opened_s = self.site.record.now_s()
                self._send(ACK, b"")
                return True
        return False

    async def request(self, text: str, *, budget_s: float = 2.0) -> str | None:
        """Send a request, its time of work as the last word; return the answer or None."""
        deadline_s = time.monotonic() + budget_s
        data = text.encode()
        wait_s = 0.2
        is_acknowledged = False
        while time.monotonic() < deadline_s:
            if not is_acknowledged:
                self._send(ACK, data)
            until_s = min(deadline_s, time.monotonic() + wait_s)
            wait_s = min(1.6, 2 * wait_s)
            while (left_s := until_s - time.monotonic()) > 0:
                try:
                    async with asyncio.timeout(left_s):
                        packet = await self._received.get()
                except TimeoutError:
                    break
                if packet.flags & RST:
                    return None
                if packet.data and packet.seq == self._ack:
                    self._seq = (self._seq + len(data)) % 2**32
                    self._ack = (self._ack + len(packet.data)) % 2**32
                    self._echo = packet.echo
                    self._send(ACK, b"")
                    return packet.data.decode()
                if not packet.flags & SYN:
                    is_acknowledged = True
        return None

    def _send(self, flags: int, data: bytes, *, ack: int | None = None) -> None:
        host = self.host()
        if host is None:
            return
        packet = Packet(
            echo=self._echo,
            seq=self._seq,
            ack=self._ack if ack is None else ack,
            sport=self.port,
            dport=self.destination[1],
            dst=int(IPv4Address(self.destination[0])),
            src=int(IPv4Address(CLIENT_ADDRESS)),
            flags=flags,
            data=data,
        )
        packet.sum = packet.checksum()
        self.site.client_socket.sendto(packet.encode(), (host.address, self.site.packet_port))


# --- hosts and the site --------------------------------------------------------------------------


class SystemReset(NamedTuple):
    """A reset that a host sent to a client."""

    at_s: float
    flow: Flow
    host: Host
    was_open: bool
    # How long the host had not been started or signalled then.
    calm_s: float


class Host:
    """A daemon under test, as a process with the command of the deploy file."""

    def __init__(self, site: Site, name: str, zone: str, address: str, bounds: dict) -> None:
        self.site, self.name, self.zone, self.address = site, name, zone, address
        self.bounds = bounds
        self.is_in_rotation = False
        # When it was started or signalled last.
        self.disturbed_s = 0.0
        self.process: asyncio.subprocess.Process | None = None
        self.settings = site.folder / f"{name}.toml"
        self.log = site.folder / f"{name}.log"
        self._misses = READY_MISSES

    def write_settings(self) -> None:
        """Write what the platform makes of ``deploy/settings.toml.template``."""
        site = self.site
        self.settings.write_text(
            f'host = "{self.name}"\n'
            f'failure_domain = "{self.zone}"\n'
            f'steering = "{self.address}:{site.packet_port}"\n'
            f'readiness = "{self.address}:{site.ready_port}"\n'
            'readiness_path = "/v1/ready"\n'
            f'metrics = "{self.address}:{site.metrics_port}"\n'
            f'store = "{STORE_ADDRESS}:{site.store.port}"\n'
            f"grace_period_s = {self.bounds['GraceS']}\n"
            f'peers = "{self.address}:{site.peer_port}"\n'
            f"list_age_limit_ms = {self.bounds['DrainMs']}\n"
            "link_mbps = 1000.0\n"
            f"failure_domains = {json.dumps(sorted(site.zones))}\n"
            "load_sharing = true\n"
            "admission = true\n"
        )

    async def start(self) -> None:
        self.write_settings()
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        (role,) = deploy["roles"].values()
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["REDWINGSWITCH_SETTINGS"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(role["run"]), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.disturbed_s = self.site.record.now_s()
        self.site.record.line(f"{self.name}: started")

    def send_signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.disturbed_s = self.site.record.now_s()
            self.site.record.line(f"{self.name}: {number.name}")

    async def wait_for_exit(self) -> None:
        await self.process.wait()
        self.site.record.line(f"{self.name}: exited with {self.process.returncode}")

    async def poll_ready(self) -> None:
        """Ask for the readiness twice a second, as the platform does."""
        await asyncio.sleep(READY_INTERVAL_S * random.random())
        while True:
            is_ready = await self._is_ready()
            self._misses = 0 if is_ready else self._misses + 1
            in_rotation = self._misses < READY_MISSES
            if in_rotation != self.is_in_rotation:
                self.is_in_rotation = in_rotation
                self.site.record.line(
                    f"{self.name}: {'in' if in_rotation else 'out of'} rotation"
                )
            await asyncio.sleep(READY_INTERVAL_S * random.uniform(0.9, 1.1))

    async def _is_ready(self) -> bool:
        try:
            async with asyncio.timeout(READY_INTERVAL_S):
                reader, writer = await asyncio.open_connection(
                    self.address, self.site.ready_port
                )
                try:
                    writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    return (await reader.readline()).startswith(b"HTTP/1.1 200")
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False


BOUNDS = {
    "StableWindowMs": 4_000,
    "DrainMs": 3_000,
    "ConfigApplyMs": 3_000,
    "GraceS": 6,
    "FlowTtlS": 60,
}


class Site:
    """A small deployment on loopback addresses."""

    def __init__(self, record: Record, folder: Path, zones: dict[str, int]) -> None:
        self.record, self.folder, self.zones = record, folder, zones
        self.store = Store(record)
        self.hosts: list[Host] = []
        self.backends: dict[str, Backend] = {}
        self.flows: dict[int, Flow] = {}
        self.system_resets: list[SystemReset] = []
        self._next_port = 10_000
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Site:
        await self.store.start()
        addresses = [f"127.0.0.{11 + i}" for i in range(sum(self.zones.values()))]
        self.packet_port = free_port([*addresses, CLIENT_ADDRESS])
        self.ready_port = free_port(addresses)
        self.peer_port = free_port(addresses)
        self.metrics_port = free_port(addresses)
        self.client_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
        self.client_socket.setblocking(False)
        self.client_socket.bind((CLIENT_ADDRESS, self.packet_port))
        asyncio.get_running_loop().add_reader(self.client_socket, self._read_client)
        remaining = list(addresses)
        for zone, count in self.zones.items():
            for number in range(count):
                name = f"edge-{zone}-{number + 1}"
                self.hosts.append(Host(self, name, zone, remaining.pop(0), dict(BOUNDS)))
        return self

    async def __aexit__(self, *_error: object) -> None:
        for task in self._tasks:
            task.cancel()
        for host in self.hosts:
            process = host.process
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()

    async def start_hosts(self) -> None:
        for host in self.hosts:
            await host.start()
            self._tasks.append(asyncio.create_task(host.poll_ready()))

    async def wait_for_rotation(self, hosts: list[Host], *, limit_s: float = 15.0) -> bool:
        deadline_s = time.monotonic() + limit_s
        while time.monotonic() < deadline_s:
            if all(host.is_in_rotation for host in hosts):
                return True
            await asyncio.sleep(0.05)
        return False

    def configure(self, version: int, routes: list[dict], *, idle_ms: int = 12_000) -> None:
        services = sorted({route["Service"] for route in routes})
        self.store.put(
            "op/config",
            {
                "Version": version,
                "Routes": routes,
                "Services": [
                    {"Name": name, "HealthPath": "/healthz", "MaxConns": 2_000}
                    for name in services
                ],
                "Limits": {"IdleTimeoutMs": idle_ms},
            },
        )
        self.record.line(
            f"store: acknowledges configuration {version} with the routes "
            + ", ".join(f"{r['Host']}{r['Prefix']} to {r['Service']}" for r in routes)
        )

    def add_backend(self, number: int, service: str, zone: str, **options: int) -> Backend:
        backend = Backend(self, f"i-{number:08x}", service, zone, **options)
        self.backends[backend.name] = backend
        backend.write_entry()
        self.record.line(f"{backend.name}: starts, of {service}, {options or ''}")
        return backend

    def route(self, port: int, destination: tuple[str, int]) -> Host | None:
        """Return the host for a packet, by a hash modulo the hosts in rotation."""
        ready = [host for host in self.hosts if host.is_in_rotation]
        hosts = ready if 2 * len(ready) >= len(self.hosts) else self.hosts
        digest = zlib.crc32(f"{CLIENT_ADDRESS}:{port}>{destination}".encode())
        return hosts[digest % len(hosts)] if hosts else None

    def reader(self, zone: str) -> Host:
        """Return the host that the store has as the reader of a zone."""
        found = json.loads(self.store.items[f"redwingswitch/readers/{zone}"][2])
        return next(host for host in self.hosts if host.name == found["host"])

    def create_flow(self, destination: tuple[str, int]) -> Flow:
        flow = Flow(self, self._next_port, destination)
        self.flows[self._next_port] = flow
        self._next_port += 1
        return flow

    def on_system_reset(self, flow: Flow, sender: str) -> None:
        """Note a reset that no backend has sent: its sum is 0."""
        host = next(each for each in self.hosts if each.address == sender)
        now_s = self.record.now_s()
        calm_s = now_s - host.disturbed_s
        self.system_resets.append(SystemReset(now_s, flow, host, flow.is_open, calm_s))
        if flow.is_open:
            self.record.line(f"client: {host.name} resets the open flow {flow.port}")

    def broken_flows(self) -> list[Flow]:
        """Return the flows whose reset breaks FLOW, and record why.

        The backend runs and holds the flow open, it sent no reset, the flow is young, and the host
        that sent the reset was not started, stopped or signalled for ``StableWindowMs``.
        """
        found = []
        for reset in self.system_resets:
            key = reset.flow.key
            holders = [
                each
                for each in self.backends.values()
                if key in each.flows and each.flows[key].is_open
            ]
            has_backend_reset = any(
                key == other for each in self.backends.values() for _, other in each.resets
            )
            age_s = reset.at_s - reset.flow.opened_s
            if not reset.was_open or not holders or has_backend_reset:
                continue
            is_in_touch = reset.calm_s >= BOUNDS["StableWindowMs"] / 1_000
            self.record.line(
                f"FLOW: flow {reset.flow.port}, open for {age_s:.3f} s at {holders[0].name}, which"
                f" runs and has sent no reset, was reset at {reset.at_s:.3f} s by"
                f" {reset.host.name}, undisturbed for {reset.calm_s:.1f} s"
                f"{'' if is_in_touch else ' (not in touch: does not count)'}"
            )
            if is_in_touch and age_s < BOUNDS["FlowTtlS"]:
                found.append(reset.flow)
        return found

    def _read_client(self) -> None:
        for _ in range(256):
            try:
                datagram, sender = self.client_socket.recvfrom(65_535)
            except OSError:
                return
            packet = Packet.decode(datagram)
            flow = self.flows.get(packet.dport)
            if flow is not None:
                flow.on_packet(packet, sender[0])


def route(port: int, service: str, kind: str = "idempotent", host: str = "198.18.0.1") -> dict:
    return {
        "Name": f"r-{host}-{port}",
        "Host": host,
        "Prefix": f"/{port}/",
        "Type": kind,
        "TimeoutMs": 2_000,
        "TargetLatencyMs": 150,
        "Priority": 2,
        "Service": service,
        "Attempts": 2,
    }


# Python ends with 1 after an error of the script itself, so run.sh makes 1 of 10.
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2


def run_case(
    folder: Path,
    zones: dict[str, int],
    case: Callable[[Site, bool], Awaitable[int]],
    *,
    limit_s: float = 100.0,
) -> None:
    """Run a case with or without its disruption and exit with its verdict."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")

    async def _run() -> int:
        # A stop of the script must end the daemons too.
        stop = asyncio.current_task().cancel
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop)
        with tempfile.TemporaryDirectory() as temporary:
            async with Site(record, Path(temporary), zones) as site:
                try:
                    async with asyncio.timeout(limit_s):
                        verdict = await case(site, has_trouble)
                except TimeoutError:
                    record.line("the case took too long")
                    verdict = COULD_NOT_RUN
            for host in site.hosts:
                record.text(f"\nthe last log lines of {host.name}:")
                if host.log.exists():
                    record.text("\n".join(host.log.read_text().splitlines()[-40:]))
        return verdict

    try:
        verdict = asyncio.run(_run())
    except (Exception, asyncio.CancelledError) as error:
        record.line(f"the case could not run: {error!r}")
        verdict = COULD_NOT_RUN
    names = {HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}
    record.text(f"\nverdict: {names[verdict]}")
    print(names[verdict])
    sys.exit(verdict)
