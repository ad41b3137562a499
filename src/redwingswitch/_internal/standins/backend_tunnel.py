"""The tunnel endpoint of a backend server stand-in."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.models.identifiers import FlowKey, PacketKind
from redwingswitch._internal.network.datagrams import DatagramEndpoint
from redwingswitch._internal.network.tunnel import TunnelledPacket, parse_packet

MAX_COUNTED_FLOWS = 100_000

# Called with the direct return to the caller: the flow, the kind of packet and its content.
OnReturn = Callable[[FlowKey, PacketKind, bytes], None]


class TunnelEndpoint:
    """Counts packets per flow and packets that should not have reached this server."""

    def __init__(
        self,
        *,
        address: str,
        destination: tuple[bytes, int],
        on_return: OnReturn,
        port: int = 0,
    ) -> None:
        self._destination = destination
        self._on_return = on_return
        self._endpoint = DatagramEndpoint(address=address, port=port, on_datagram=self._on_datagram)
        self.packets: Counter[FlowKey] = Counter()
        self.opened_flows: set[FlowKey] = set()
        self.unknown_flows: set[FlowKey] = set()
        self.wrong_service_packets = 0
        self.malformed_packets = 0

    @property
    def port(self) -> int:
        """Return the bound port."""
        return self._endpoint.port

    def close(self) -> None:
        """Close the socket."""
        self._endpoint.close()

    def _on_datagram(self, data: bytes, _: tuple[str, int]) -> None:
        try:
            packet = parse_packet(data)
        except DecodeError:
            self.malformed_packets += 1
            return
        if (packet.flow.service_address, packet.flow.service_port) != self._destination:
            self.wrong_service_packets += 1
            return
        self._on_packet(packet)

    def _on_packet(self, packet: TunnelledPacket) -> None:
        flow = packet.flow
        if flow not in self.packets and len(self.packets) >= MAX_COUNTED_FLOWS:
            return
        self.packets[flow] += 1
        if packet.kind is PacketKind.OPEN:
            self.opened_flows.add(flow)
        elif flow not in self.opened_flows:
            # Like a real server without this connection, answer with a reset; it breaks the flow.
            self.unknown_flows.add(flow)
            self._on_return(flow, PacketKind.RESET, b"")
            return
        self._on_return(flow, packet.kind, packet.content)
