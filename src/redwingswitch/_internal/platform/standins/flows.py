"""Stand-ins for a backend server and a caller that speak the platform's packets over UDP."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from ipaddress import IPv4Address
from typing import NamedTuple

HEADER = struct.Struct("<HIIIIHHIIB3x")
TUNNEL_PREFIX_BYTES = 8
OPEN, ACKNOWLEDGE, CLOSE, RESET = 64, 4, 128, 1
LOOPBACK = "127.0.0.1"
OPEN_RETRY_WAITS_S = (0.2, 0.4)
# The option of Linux by which a socket tells when the kernel received each datagram.
SO_TIMESTAMPNS = 35
TIMESTAMP = struct.Struct("@qq")
MAX_DATAGRAM_BYTES = 65_535
MS_PER_S = 1_000
NS_PER_MS = 1_000_000


class Packet(NamedTuple):
    """A decoded packet of either direction."""

    cookie: int
    sequence: int
    acknowledged: int
    source_port: int
    destination_port: int
    destination: int
    source: int
    flags: int
    data: bytes


def encode(packet: Packet) -> bytes:
    """Return the packet's datagram, with a checksum of 0."""
    header = HEADER.pack(
        len(packet.data),
        packet.cookie,
        0,
        packet.sequence,
        packet.acknowledged,
        packet.source_port,
        packet.destination_port,
        packet.destination,
        packet.source,
        packet.flags,
    )
    return header + packet.data


def decode(datagram: bytes) -> Packet:
    """Return the packet in a datagram."""
    (
        _,
        cookie,
        _,
        sequence,
        acknowledged,
        source_port,
        destination_port,
        destination,
        source,
        flags,
    ) = HEADER.unpack_from(datagram)
    return Packet(
        cookie,
        sequence,
        acknowledged,
        source_port,
        destination_port,
        destination,
        source,
        flags,
        datagram[HEADER.size :],
    )


class _DatagramHandler(asyncio.DatagramProtocol):
    def __init__(self, owner: PlatformCallerStandin) -> None:
        self._owner = owner

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._owner.on_datagram(data, addr)


class PlatformServerStandin:
    """A backend server that answers each request of a flow with its own name.

    With ``is_responding`` False it drops every packet, as a crashed server does.
    ``opening_times_ms`` are the times, on the wall clock, at which opening packets reached its
    socket, however late this process reads them.
    """

    def __init__(self, *, name: str, number: int, caller_port: int) -> None:
        self.name = name
        self.is_responding = True
        self.opened_flow_count = 0
        self.unknown_flow_packets = 0
        self.opening_times_ms: list[float] = []
        self._tunnel_prefix = number.to_bytes(TUNNEL_PREFIX_BYTES, "big")
        self._caller_port = caller_port
        self._flows: set[tuple[int, int, int]] = set()
        self._socket: socket.socket | None = None
        self._received_ms = 0.0
        self.port = 0

    async def start(self) -> None:
        """Bind a free loopback port."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
        self._socket.bind((LOOPBACK, 0))
        self.port = self._socket.getsockname()[1]
        asyncio.get_running_loop().add_reader(self._socket, self._receive, self._socket)

    def close(self) -> None:
        """Release the port."""
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def _receive(self, bound_socket: socket.socket) -> None:
        try:
            data, ancillary, _, sender = bound_socket.recvmsg(
                MAX_DATAGRAM_BYTES, socket.CMSG_SPACE(TIMESTAMP.size)
            )
        except OSError:
            return
        seconds, nanoseconds = TIMESTAMP.unpack(ancillary[0][2])
        self._received_ms = seconds * MS_PER_S + nanoseconds / NS_PER_MS
        self.on_datagram(data, sender)

    def on_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        """Answer a packet whose tunnel prefix names this server."""
        if data[:TUNNEL_PREFIX_BYTES] != self._tunnel_prefix:
            return
        packet = decode(data[TUNNEL_PREFIX_BYTES:])
        if packet.flags & OPEN:
            self.opening_times_ms.append(self._received_ms)
        if not self.is_responding:
            return
        flow = (packet.source, packet.source_port, packet.destination_port)
        if packet.flags & OPEN:
            self._flows.add(flow)
            self.opened_flow_count += 1
            self._reply(packet, OPEN | ACKNOWLEDGE, b"")
        elif flow not in self._flows:
            self.unknown_flow_packets += 1
            self._reply(packet, RESET, b"")
        elif packet.data:
            self._reply(packet, ACKNOWLEDGE, self.name.encode())

    def _reply(self, packet: Packet, flags: int, data: bytes) -> None:
        reply = Packet(
            cookie=packet.cookie,
            sequence=packet.acknowledged,
            acknowledged=packet.sequence + len(packet.data),
            source_port=packet.destination_port,
            destination_port=packet.source_port,
            destination=packet.source,
            source=packet.destination,
            flags=flags,
            data=data,
        )
        if self._socket is not None:
            caller = (str(IPv4Address(packet.source)), self._caller_port)
            with contextlib.suppress(OSError):
                self._socket.sendto(encode(reply), caller)


class PlatformCallerStandin:
    """Callers behind one loopback address; each packet may go to another entry host."""

    def __init__(self, *, address: str = LOOPBACK) -> None:
        self._address = address
        self._queues_by_port: dict[int, asyncio.Queue[Packet]] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._next_port = 1_024
        self.port = 0

    async def start(self, *, port: int = 0) -> None:
        """Bind the port that backend servers and resets are sent to."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramHandler(self), local_addr=(self._address, port), reuse_port=None
        )
        self.port = self._transport.get_extra_info("sockname")[1]

    def close(self) -> None:
        """Release the port."""
        if self._transport is not None:
            self._transport.close()

    def on_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        """Queue a packet for the flow it belongs to."""
        packet = decode(data)
        queue = self._queues_by_port.get(packet.destination_port)
        if queue is not None:
            queue.put_nowait(packet)

    def create_flow(self, destination: tuple[str, int]) -> Flow:
        """Return a new flow that is not open yet."""
        port = self._next_port
        self._next_port += 1
        queue: asyncio.Queue[Packet] = asyncio.Queue()
        self._queues_by_port[port] = queue
        return Flow(caller=self, port=port, destination=destination, received=queue)

    def send(self, packet: Packet, host: tuple[str, int]) -> None:
        """Send a packet to an entry host."""
        if self._transport is not None:
            self._transport.sendto(encode(packet), host)

    @property
    def address(self) -> int:
        """Return the callers' address as a number."""
        return int(IPv4Address(self._address))


class Flow:
    """One flow of a caller, which retransmits unanswered packets."""

    def __init__(
        self,
        *,
        caller: PlatformCallerStandin,
        port: int,
        destination: tuple[str, int],
        received: asyncio.Queue[Packet],
    ) -> None:
        self._caller = caller
        self._port = port
        self._destination = destination
        self._received = received
        self.cookie = 0
        self._sequence = 1
        self._acknowledged = 0

    async def open(self, host: tuple[str, int]) -> bool:
        """Open the flow through a host; return False if it is reset or never answered."""
        for copy_number, wait_s in enumerate((*OPEN_RETRY_WAITS_S, 0.8)):
            self._send(host, OPEN, b"", acknowledged=copy_number)
            reply = await self._receive(wait_s)
            if reply is None:
                continue
            if reply.flags & RESET:
                return False
            self.cookie = reply.cookie
            self._sequence += 1
            self._send(host, ACKNOWLEDGE, b"")
            return True
        return False

    async def send_request(self, host: tuple[str, int], text: str) -> str | None:
        """Send a request through a host; return the answer, or None after a reset or a timeout."""
        for wait_s in (0.2, 0.4, 0.8):
            self._send(host, ACKNOWLEDGE, text.encode())
            reply = await self._receive(wait_s)
            if reply is not None and reply.flags & RESET:
                return None
            if reply is not None and reply.data:
                self._sequence += len(text)
                self._acknowledged += len(reply.data)
                self._send(host, ACKNOWLEDGE, b"")
                return reply.data.decode()
        return None

    async def _receive(self, wait_s: float) -> Packet | None:
        try:
            async with asyncio.timeout(wait_s):
                return await self._received.get()
        except TimeoutError:
            return None

    def _send(
        self, host: tuple[str, int], flags: int, data: bytes, *, acknowledged: int | None = None
    ) -> None:
        address, port = self._destination
        packet = Packet(
            cookie=self.cookie,
            sequence=self._sequence,
            acknowledged=self._acknowledged if acknowledged is None else acknowledged,
            source_port=self._port,
            destination_port=port,
            destination=int(IPv4Address(address)),
            source=self._caller.address,
            flags=flags,
            data=data,
        )
        self._caller.send(packet, host)
