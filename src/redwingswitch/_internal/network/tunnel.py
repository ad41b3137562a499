"""Packets tunnelled in UDP: the payload is a caller's IPv4 packet, as in Foo-over-UDP."""

from __future__ import annotations

import struct
from typing import NamedTuple

import dpkt

from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.models.events import PacketArrived
from redwingswitch._internal.models.identifiers import FlowKey, PacketKind, flow_hash

IPV4_VERSION = 4
DEFAULT_TTL = 64

# dpkt raises these for truncated headers and invalid option lengths.
_PARSE_ERRORS = (dpkt.Error, struct.error, IndexError, ValueError, TypeError)
_TCP_FLAGS = {
    PacketKind.OPEN: dpkt.tcp.TH_SYN,
    PacketKind.DATA: dpkt.tcp.TH_ACK,
    PacketKind.CLOSE: dpkt.tcp.TH_FIN | dpkt.tcp.TH_ACK,
    PacketKind.RESET: dpkt.tcp.TH_RST,
}


class TunnelledPacket(NamedTuple):
    """The parts of a caller's packet that a tunnel endpoint uses."""

    flow: FlowKey
    kind: PacketKind
    content: bytes


def decode_packet(payload: bytes) -> PacketArrived:
    """Return the event for a caller's packet; raise DecodeError unless it is IPv4 TCP or UDP."""
    packet = parse_packet(payload)
    return PacketArrived(packet.flow, flow_hash(packet.flow), packet.kind, payload)


def parse_packet(payload: bytes) -> TunnelledPacket:
    """Return a packet's flow, kind and content; raise DecodeError if it cannot be steered.

    A fragment is rejected: only the first fragment of a packet contains the ports.
    """
    packet = _parse_ip(payload)
    if packet.mf or packet.offset:
        raise DecodeError("an IPv4 fragment cannot be steered")
    segment = packet.data
    if not isinstance(segment, dpkt.tcp.TCP | dpkt.udp.UDP):
        raise DecodeError("the packet is neither TCP nor UDP")
    flow = FlowKey(packet.p, packet.src, segment.sport, packet.dst, segment.dport)
    return TunnelledPacket(flow, _packet_kind(segment), bytes(segment.data))


def build_packet(*, flow: FlowKey, kind: PacketKind, content: bytes = b"") -> bytes:
    """Return an IPv4 TCP packet of ``flow``, with valid checksums."""
    segment = dpkt.tcp.TCP(
        sport=flow.caller_port, dport=flow.service_port, flags=_TCP_FLAGS[kind], data=content
    )
    packet = dpkt.ip.IP(
        src=flow.caller_address,
        dst=flow.service_address,
        p=flow.protocol,
        ttl=DEFAULT_TTL,
        data=segment,
    )
    packet.len = len(packet)
    return bytes(packet)


def _parse_ip(payload: bytes) -> dpkt.ip.IP:
    try:
        packet = dpkt.ip.IP(payload)
    except _PARSE_ERRORS as error:
        raise DecodeError(f"not an IPv4 packet: {error}") from error
    if packet.v != IPV4_VERSION:
        raise DecodeError(f"IP version {packet.v} is not supported")
    return packet


def _packet_kind(segment: dpkt.tcp.TCP | dpkt.udp.UDP) -> PacketKind:
    if isinstance(segment, dpkt.udp.UDP):
        return PacketKind.DATA
    if segment.flags & dpkt.tcp.TH_RST:
        return PacketKind.RESET
    if segment.flags & dpkt.tcp.TH_FIN:
        return PacketKind.CLOSE
    if segment.flags & dpkt.tcp.TH_SYN and not segment.flags & dpkt.tcp.TH_ACK:
        return PacketKind.OPEN
    return PacketKind.DATA
