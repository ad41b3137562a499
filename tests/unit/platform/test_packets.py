"""Guards against misread offsets and flags, and against changed bytes on the way to a server."""

import struct

import pytest
from hypothesis import given
from hypothesis import strategies as st

from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.models.cookie_flows import FlowEndpoints, RouteAddress
from redwingswitch._internal.platform.packets import PlatformPacketCodec

CODEC = PlatformPacketCodec()
HEADER_BYTES = 34
HEADER_FIELDS = {
    "data_bytes": (0, "<H"),
    "cookie": (2, "<I"),
    "checksum": (6, "<I"),
    "sequence": (10, "<I"),
    "acknowledged": (14, "<I"),
    "source_port": (18, "<H"),
    "destination_port": (20, "<H"),
    "destination": (22, "<I"),
    "source": (26, "<I"),
    "flags": (30, "<B"),
}


def datagram(data: bytes = b"", **fields: int) -> bytes:
    header = bytearray(HEADER_BYTES)
    for name, value in {"data_bytes": len(data), **fields}.items():
        offset, struct_format = HEADER_FIELDS[name]
        struct.pack_into(struct_format, header, offset, value)
    return bytes(header) + data


def field(packet: bytes, name: str) -> int:
    offset, struct_format = HEADER_FIELDS[name]
    value: int = struct.unpack_from(struct_format, packet, offset)[0]
    return value


def test_every_field_is_read_at_its_place() -> None:
    packet = CODEC.decode(
        datagram(
            b"data",
            cookie=1,
            checksum=2,
            sequence=3,
            acknowledged=4,
            source_port=5,
            destination_port=6,
            destination=7,
            source=8,
            flags=4,
        )
    )
    assert packet.flow == FlowEndpoints(8, 5, RouteAddress(7, 6))
    assert (packet.cookie, packet.sequence, packet.acknowledged) == (1, 3, 4)
    assert packet.data_bytes == 4


@pytest.mark.parametrize(
    ("flags", "opens", "closes", "resets", "copy_number"),
    [
        pytest.param(64, True, False, False, 2, id="opening"),
        pytest.param(68, False, False, False, 0, id="answer to an opening"),
        pytest.param(4, False, False, False, 0, id="acknowledgement"),
        pytest.param(132, False, True, False, 0, id="close"),
        pytest.param(1, False, False, True, 0, id="reset"),
    ],
)
def test_flags(flags: int, opens: bool, closes: bool, resets: bool, copy_number: int) -> None:
    packet = CODEC.decode(datagram(flags=flags, acknowledged=2))
    assert (packet.opens, packet.closes, packet.resets) == (opens, closes, resets)
    assert packet.copy_number == copy_number


@pytest.mark.parametrize(
    "malformed",
    [
        pytest.param(b"", id="empty"),
        pytest.param(datagram()[:-1], id="short header"),
        pytest.param(datagram(b"abc")[:-1], id="less data than declared"),
        pytest.param(datagram(b"abc") + b"d", id="more data than declared"),
    ],
)
def test_malformed_packets_are_refused(malformed: bytes) -> None:
    with pytest.raises(DecodeError):
        CODEC.decode(malformed)


def test_only_the_cookie_changes_on_the_way_to_a_server() -> None:
    sent = datagram(b"data", cookie=1, checksum=9, sequence=3, flags=64)
    packet = CODEC.decode(sent)
    received = CODEC.encode_for_server(packet, cookie=77, tunnel_prefix=b"12345678")
    assert received == b"12345678" + datagram(b"data", cookie=77, checksum=9, sequence=3, flags=64)
    assert CODEC.encode_for_server(packet, cookie=1, tunnel_prefix=b"") == sent


def test_a_reset_goes_from_the_route_to_the_caller() -> None:
    packet = CODEC.decode(
        datagram(
            acknowledged=400,
            source_port=5,
            destination_port=6,
            destination=7,
            source=8,
            flags=4,
        )
    )
    reset = CODEC.encode_reset(packet)
    assert len(reset) == HEADER_BYTES
    expected = {"source_port": 6, "destination_port": 5, "destination": 8, "source": 7, "flags": 1}
    assert {name: field(reset, name) for name in expected} == expected
    assert field(reset, "sequence") == 400
    assert field(reset, "checksum") == field(reset, "data_bytes") == 0


@given(st.binary(max_size=HEADER_BYTES + 20))
def test_any_bytes_are_decoded_or_refused(content: bytes) -> None:
    try:
        packet = CODEC.decode(content)
    except DecodeError:
        return
    assert packet.datagram == content
