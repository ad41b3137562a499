"""Backend servers and callers that follow the platform's page on flows more closely.

A server opens a flow only for a caller that acknowledges its own sequence number, works on two
requests at a time and runs each request once. A caller retransmits after 200 ms, then after twice
as long each time, up to 1.6 s, and gives up at its time budget.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from ipaddress import IPv4Address

from redwingswitch._internal.platform.standins.documents import build_server_entry
from redwingswitch._internal.platform.standins.flows import (
    ACKNOWLEDGE,
    OPEN,
    RESET,
    TUNNEL_PREFIX_BYTES,
    Packet,
    decode,
    encode,
)
from review_site import STORE_ADDRESS, Record

SEQUENCE_RANGE = 1 << 32
OPEN_COPIES_S = (0.2, 0.4, 0.8)
FIRST_RETRANSMISSION_S = 0.2
MAX_RETRANSMISSION_S = 1.6


class _Handler(asyncio.DatagramProtocol):
    def __init__(self, on_datagram) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._on_datagram(data, addr)


class _ServerFlow:
    def __init__(self, *, first_sequence: int) -> None:
        self.is_open = False
        self.sequence = first_sequence
        # The next byte that the server expects.
        self.expected = 0
        # Received packets that are not acknowledged yet.
        self.unacknowledged = 0


class FlowServer:
    """A backend server. A request is the text ``ID work-in-ms``; the answer names the server."""

    def __init__(
        self,
        *,
        number: int,
        zone: str,
        service: str,
        caller_port: int,
        record: Record,
        slots: int = 2,
    ) -> None:
        self.name = f"i-{number:08x}"
        self.zone = zone
        self.service = service
        self.is_dark = False
        self.port = 0
        self._prefix = number.to_bytes(TUNNEL_PREFIX_BYTES, "big")
        self._caller_port = caller_port
        self._record = record
        self._slots = asyncio.Semaphore(slots)
        self._flows: dict[tuple[int, int, int, int], _ServerFlow] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._sequence = 0
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Handler(self._on_datagram), local_addr=(STORE_ADDRESS, 0)
        )
        self.port = self._transport.get_extra_info("sockname")[1]

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        if self._transport is not None:
            self._transport.close()

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Return the next report for the store."""
        self._sequence += 1
        return build_server_entry(
            service=self.service,
            address=f"{STORE_ADDRESS}:{self.port}",
            zone=self.zone,
            state=state,
            sequence=self._sequence,
        )

    def _on_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        if self.is_dark or data[:TUNNEL_PREFIX_BYTES] != self._prefix:
            return
        packet = decode(data[TUNNEL_PREFIX_BYTES:])
        key = (packet.source, packet.source_port, packet.destination, packet.destination_port)
        flow = self._flows.get(key)
        if packet.flags & OPEN:
            if flow is None:
                flow = _ServerFlow(first_sequence=random.getrandbits(32))
                flow.expected = (packet.sequence + 1) % SEQUENCE_RANGE
                self._flows[key] = flow
            if not flow.is_open:
                self._reply(packet, OPEN | ACKNOWLEDGE, b"", flow.sequence, flow.expected)
            return
        if packet.flags & RESET:
            self._flows.pop(key, None)
            return
        if flow is None:
            self._reply(packet, RESET, b"", packet.acknowledged, 0)
            return
        if not flow.is_open:
            if packet.acknowledged != (flow.sequence + 1) % SEQUENCE_RANGE:
                return
            flow.is_open = True
            flow.sequence = packet.acknowledged
        if packet.data:
            self._on_data(packet, flow)

    def _on_data(self, packet: Packet, flow: _ServerFlow) -> None:
        if packet.sequence == flow.expected:
            flow.expected = (flow.expected + len(packet.data)) % SEQUENCE_RANGE
            task = asyncio.create_task(self._work(packet, flow))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        # Each end acknowledges every second packet.
        flow.unacknowledged += 1
        if flow.unacknowledged == 2:
            flow.unacknowledged = 0
            self._reply(packet, ACKNOWLEDGE, b"", flow.sequence, flow.expected)

    async def _work(self, packet: Packet, flow: _ServerFlow) -> None:
        identifier, work_ms = packet.data.decode().split()
        async with self._slots:
            self._record.write(f"{self.name} runs {identifier}")
            await asyncio.sleep(int(work_ms) / 1_000)
        answer = f"{identifier} {self.name}".encode()
        flow.unacknowledged = 0
        self._reply(packet, ACKNOWLEDGE, answer, flow.sequence, flow.expected)
        flow.sequence = (flow.sequence + len(answer)) % SEQUENCE_RANGE

    def _reply(
        self, packet: Packet, flags: int, data: bytes, sequence: int, acknowledged: int
    ) -> None:
        if self._transport is None or self.is_dark:
            return
        reply = Packet(
            cookie=packet.cookie,
            sequence=sequence,
            acknowledged=acknowledged,
            source_port=packet.destination_port,
            destination_port=packet.source_port,
            destination=packet.source,
            source=packet.destination,
            flags=flags,
            data=data,
        )
        caller = (str(IPv4Address(packet.source)), self._caller_port)
        self._transport.sendto(encode(reply), caller)


class FlowResetError(Exception):
    """The caller got a reset; ``sender`` is its origin."""

    def __init__(self, sender: tuple[str, int]) -> None:
        super().__init__(f"reset by {sender[0]}:{sender[1]}")
        self.sender = sender


class FlowLostError(Exception):
    """The caller gave up."""


class FlowCallers:
    """Callers behind one loopback address."""

    def __init__(self, *, address: str, record: Record) -> None:
        self._address = address
        self._record = record
        self._queues: dict[int, asyncio.Queue[tuple[Packet, tuple[str, int]]]] = {}
        self._next_port = 1_024
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, *, port: int) -> None:
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Handler(self._on_datagram), local_addr=(self._address, port)
        )

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def create_flow(
        self, destination: tuple[str, int], *, select_host: Callable[[int], tuple[str, int]]
    ) -> CallerFlow:
        """Return a flow; ``select_host`` is asked for each of its packets, with the flow's port."""
        port = self._next_port
        self._next_port += 1
        self._queues[port] = asyncio.Queue()
        return CallerFlow(
            callers=self,
            record=self._record,
            address=self._address,
            port=port,
            destination=destination,
            received=self._queues[port],
            select_host=select_host,
        )

    def send(self, packet: Packet, host: tuple[str, int]) -> None:
        if self._transport is not None:
            self._transport.sendto(encode(packet), host)

    def _on_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        packet = decode(data)
        queue = self._queues.get(packet.destination_port)
        if queue is not None:
            queue.put_nowait((packet, sender))


class CallerFlow:
    """One flow of a caller."""

    def __init__(
        self,
        *,
        callers: FlowCallers,
        record: Record,
        address: str,
        port: int,
        destination: tuple[str, int],
        received: asyncio.Queue[tuple[Packet, tuple[str, int]]],
        select_host: Callable[[int], tuple[str, int]],
    ) -> None:
        self.port = port
        self.server = ""
        self.sent_copies = 0
        self._callers = callers
        self._record = record
        self._source = int(IPv4Address(address))
        self._destination = destination
        self._received = received
        self._select_host = select_host
        self._cookie = 0
        self._sequence = random.getrandbits(32)
        self._acknowledged = 0

    @property
    def host(self) -> tuple[str, int]:
        """Return the entry host that the routers select now."""
        return self._select_host(self.port)

    async def open(self) -> None:
        for copy, wait_s in enumerate(OPEN_COPIES_S):
            self._send(OPEN, b"", acknowledged=copy)
            try:
                packet, _ = await self._receive(wait_s)
            except TimeoutError:
                continue
            self._sequence = (self._sequence + 1) % SEQUENCE_RANGE
            self._acknowledged = (packet.sequence + 1) % SEQUENCE_RANGE
            self._cookie = packet.cookie
            self._send(ACKNOWLEDGE, b"")
            return
        raise FlowLostError

    async def request(self, identifier: str, work_ms: int, *, budget_s: float) -> str:
        """Send a request; return the answer."""
        data = f"{identifier} {work_ms}".encode()
        end = (self._sequence + len(data)) % SEQUENCE_RANGE
        wait_s = FIRST_RETRANSMISSION_S
        is_acknowledged = False
        self.sent_copies = 0
        try:
            async with asyncio.timeout(budget_s):
                while True:
                    if not is_acknowledged:
                        self.sent_copies += 1
                        self._record.write(
                            f"port {self.port} sends {identifier}, copy {self.sent_copies}, "
                            f"through {self.host[0]}"
                        )
                        self._send(ACKNOWLEDGE, data)
                    try:
                        packet, _ = await self._receive(budget_s if is_acknowledged else wait_s)
                    except TimeoutError:
                        wait_s = min(2 * wait_s, MAX_RETRANSMISSION_S)
                        continue
                    if packet.acknowledged == end:
                        is_acknowledged = True
                    if packet.data and packet.sequence == self._acknowledged:
                        self._sequence = end
                        self._acknowledged = (
                            self._acknowledged + len(packet.data)
                        ) % SEQUENCE_RANGE
                        self._send(ACKNOWLEDGE, b"")
                        answer = packet.data.decode()
                        self.server = answer.split()[1]
                        return answer
        except TimeoutError as error:
            raise FlowLostError from error

    async def _receive(self, wait_s: float) -> tuple[Packet, tuple[str, int]]:
        async with asyncio.timeout(wait_s):
            while True:
                packet, sender = await self._received.get()
                if packet.flags & RESET:
                    raise FlowResetError(sender)
                if packet.flags & OPEN and self._cookie:
                    # Another server's late answer to the opening packet.
                    continue
                return packet, sender

    def _send(self, flags: int, data: bytes, *, acknowledged: int | None = None) -> None:
        address, port = self._destination
        packet = Packet(
            cookie=self._cookie,
            sequence=self._sequence,
            acknowledged=self._acknowledged if acknowledged is None else acknowledged,
            source_port=self.port,
            destination_port=port,
            destination=int(IPv4Address(address)),
            source=self._source,
            flags=flags,
            data=data,
        )
        self._callers.send(packet, self.host)
