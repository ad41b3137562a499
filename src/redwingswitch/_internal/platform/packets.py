"""Codec for the platform's packets: a 34-byte header, then up to 1,200 bytes of flow data."""

from __future__ import annotations

import struct

from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.models.cookie_flows import FlowEndpoints, FlowPacket, RouteAddress

# data length, cookie, checksum, sequence, acknowledgement, source port, destination port,
# destination address, source address, flags, 3 bytes of padding; little-endian
_HEADER = struct.Struct("<HIIIIHHIIB3x")
_COOKIE = struct.Struct("<I")
_COOKIE_OFFSET = 2
_FLAG_OPEN = 64
_FLAG_ACKNOWLEDGE = 4
_FLAG_CLOSE = 128
_FLAG_RESET = 1


class PlatformPacketCodec:
    """A ``PacketCodec`` for the platform's packets."""

    def decode(self, datagram: bytes) -> FlowPacket:
        """Decode a caller's packet; raise DecodeError if it is malformed.

        The checksum is not verified, because only the two ends of a flow know its key.
        """
        if len(datagram) < _HEADER.size:
            raise DecodeError(f"packet of {len(datagram)} bytes is shorter than the header")
        (
            data_bytes,
            cookie,
            _checksum,
            sequence,
            acknowledged,
            source_port,
            destination_port,
            destination_address,
            source_address,
            flags,
        ) = _HEADER.unpack_from(datagram)
        if len(datagram) != _HEADER.size + data_bytes:
            raise DecodeError(f"packet of {len(datagram)} bytes declares {data_bytes} data bytes")
        opens = bool(flags & _FLAG_OPEN) and not flags & _FLAG_ACKNOWLEDGE
        destination = RouteAddress(destination_address, destination_port)
        return FlowPacket(
            flow=FlowEndpoints(source_address, source_port, destination),
            opens=opens,
            closes=bool(flags & _FLAG_CLOSE),
            resets=bool(flags & _FLAG_RESET),
            # An opening packet acknowledges nothing; its field counts earlier transmissions.
            copy_number=acknowledged if opens else 0,
            cookie=cookie,
            sequence=sequence,
            acknowledged=acknowledged,
            data_bytes=data_bytes,
            datagram=datagram,
        )

    def encode_for_server(self, packet: FlowPacket, *, cookie: int, tunnel_prefix: bytes) -> bytes:
        """Return the datagram for a backend server: its tunnel prefix, then the packet."""
        datagram = packet.datagram
        if cookie == packet.cookie:
            return tunnel_prefix + datagram
        cookie_end = _COOKIE_OFFSET + _COOKIE.size
        return (
            tunnel_prefix + datagram[:_COOKIE_OFFSET] + _COOKIE.pack(cookie) + datagram[cookie_end:]
        )

    def encode_reset(self, packet: FlowPacket) -> bytes:
        """Return a reset of the packet's flow, from the route's address to the caller's."""
        flow = packet.flow
        return _HEADER.pack(
            0,
            0,
            0,
            # The caller accepts a sequence number close to the last one it acknowledged.
            0 if packet.opens else packet.acknowledged,
            0,
            flow.destination.port,
            flow.caller_port,
            flow.caller_address,
            flow.destination.address,
            _FLAG_RESET,
        )
