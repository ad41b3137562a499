"""Stand-in for callers of streams: sends packets through the fabric, takes direct returns."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import NamedTuple

from redwingswitch._internal.models.identifiers import FlowKey, PacketKind
from redwingswitch._internal.network.datagrams import DatagramEndpoint
from redwingswitch._internal.network.tunnel import build_packet
from redwingswitch._internal.standins.fabric import Fabric

MAX_FLOWS = 20_000
TCP_PROTOCOL = 6
MIN_CALLER_PORT = 10_000
PORTS_PER_ADDRESS = 50_000
OPEN_RETRY_INTERVAL_S = 0.2
OPEN_ATTEMPTS = 25


class FlowResult(NamedTuple):
    """Result of one flow; it is broken if two servers answered or a server reset it."""

    opened: bool
    broken: bool


class _Flow:
    """A flow in progress."""

    def __init__(self) -> None:
        self.answered = asyncio.Event()
        self.servers: set[str] = set()
        self.was_reset = False


class StreamCallers:
    """Many callers in one process; each flow has its own address and port."""

    def __init__(self, *, address: str, fabric: Fabric) -> None:
        self._fabric = fabric
        self._endpoint = DatagramEndpoint(address=address, port=0, on_datagram=lambda *_: None)
        self._flows: dict[FlowKey, _Flow] = {}
        self.packets_sent: Counter[PacketKind] = Counter()

    def close(self) -> None:
        """Close the socket."""
        self._endpoint.close()

    async def run_flow(
        self, *, destination: tuple[bytes, int], packets: int, interval_s: float
    ) -> FlowKey | None:
        """Open a flow, send ``packets`` at an interval and close it; None if it does not open."""
        flow = self._new_flow(destination)
        if not await self._open(flow):
            return None
        for number in range(packets):
            await asyncio.sleep(interval_s)
            self._send(flow, PacketKind.DATA, str(number).encode())
        self._send(flow, PacketKind.CLOSE)
        return flow

    def on_return(self, server: str, flow: FlowKey, kind: PacketKind) -> None:
        """Record a backend server's direct return to one of the flows."""
        state = self._flows.get(flow)
        if state is None:
            return
        state.servers.add(server)
        if kind is PacketKind.RESET:
            state.was_reset = True
        state.answered.set()

    def flow_results(self) -> list[FlowResult]:
        """Return the result of each flow."""
        return [
            FlowResult(bool(state.servers), state.was_reset or len(state.servers) > 1)
            for state in self._flows.values()
        ]

    def _new_flow(self, destination: tuple[bytes, int]) -> FlowKey:
        number = len(self._flows)
        if number >= MAX_FLOWS:
            raise ValueError("too many flows; use fewer")
        host_number, port_offset = divmod(number, PORTS_PER_ADDRESS)
        caller_address = bytes([10, 9, host_number, 1])
        flow = FlowKey(TCP_PROTOCOL, caller_address, MIN_CALLER_PORT + port_offset, *destination)
        self._flows[flow] = _Flow()
        return flow

    async def _open(self, flow: FlowKey) -> bool:
        answered = self._flows[flow].answered
        for _ in range(OPEN_ATTEMPTS):
            self._send(flow, PacketKind.OPEN)
            try:
                await asyncio.wait_for(answered.wait(), OPEN_RETRY_INTERVAL_S)
            except TimeoutError:
                continue
            return True
        return False

    def _send(self, flow: FlowKey, kind: PacketKind, content: bytes = b"") -> None:
        self.packets_sent[kind] += 1
        packet = build_packet(flow=flow, kind=kind, content=content)
        self._fabric.spray(lambda host: self._endpoint.send(packet, (host.address, host.data_port)))
