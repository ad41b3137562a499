"""Guards against packets that are steered by wrong fields or that crash the parser."""

import dpkt
import pytest
from hypothesis import given
from hypothesis import strategies as st

from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.models.events import PacketArrived
from redwingswitch._internal.models.identifiers import FlowKey, PacketKind, flow_hash
from redwingswitch._internal.network.tunnel import build_packet, decode_packet, parse_packet

FLOW = FlowKey(6, b"\x0a\x00\x00\x01", 40000, b"\x0a\x01\x00\x01", 443)
SYN, ACK, FIN, RST = 2, 16, 1, 4


def packet_with_flags(flags):
    packet = dpkt.ip.IP(build_packet(flow=FLOW, kind=PacketKind.DATA))
    packet.data.flags = flags
    return bytes(packet)


def packet_with_fields(**fields):
    packet = dpkt.ip.IP(build_packet(flow=FLOW, kind=PacketKind.OPEN))
    for name, value in fields.items():
        setattr(packet, name, value)
    return bytes(packet)


@pytest.mark.parametrize("kind", PacketKind)
def test_a_built_packet_is_decoded_to_the_same_flow(kind):
    payload = build_packet(flow=FLOW, kind=kind, content=b"content")
    assert decode_packet(payload) == PacketArrived(FLOW, flow_hash(FLOW), kind, payload)
    assert parse_packet(payload).content == b"content"


@pytest.mark.parametrize(
    ("flags", "kind"),
    [
        (SYN, PacketKind.OPEN),
        (SYN | ACK, PacketKind.DATA),
        (ACK, PacketKind.DATA),
        (FIN | ACK, PacketKind.CLOSE),
        (RST, PacketKind.RESET),
        (RST | FIN | SYN, PacketKind.RESET),
        (SYN | FIN, PacketKind.CLOSE),
        (0, PacketKind.DATA),
    ],
)
def test_tcp_flags_determine_the_kind(flags, kind):
    assert decode_packet(packet_with_flags(flags)).kind is kind


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"\x45",
        b"\x60" + bytes(60),
        build_packet(flow=FLOW, kind=PacketKind.OPEN)[:30],
        packet_with_fields(mf=1),
        packet_with_fields(offset=8),
        packet_with_fields(p=1),
    ],
    ids=["empty", "one byte", "IPv6", "truncated", "first fragment", "later fragment", "ICMP"],
)
def test_packets_that_cannot_be_steered_are_rejected(payload):
    with pytest.raises(DecodeError):
        decode_packet(payload)


VALID_PACKET = build_packet(flow=FLOW, kind=PacketKind.DATA, content=b"content")


@given(st.binary(max_size=120) | st.binary(max_size=120).map(lambda tail: VALID_PACKET[:20] + tail))
def test_any_bytes_decode_or_raise_decode_error(payload):
    _assert_decodes_or_raises(payload)


@given(st.lists(st.tuples(st.integers(0, len(VALID_PACKET) - 1), st.integers(0, 255)), max_size=4))
def test_any_corrupted_packet_decodes_or_raises_decode_error(changes):
    corrupted = bytearray(VALID_PACKET)
    for position, value in changes:
        corrupted[position] = value
    _assert_decodes_or_raises(bytes(corrupted))


def _assert_decodes_or_raises(payload):
    try:
        event = decode_packet(payload)
    except DecodeError:
        return
    assert event.payload == payload
