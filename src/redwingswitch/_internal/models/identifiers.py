"""Identifiers of flows, callers, services and backend servers."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

import xxhash

REQUEST_ID_BYTES = 16
# With 400,000 recorded flows, about one in 700 million new flows has the hash of a recorded one.
# Each additional byte would be sent for every new flow of a bucket whose server changes.
FLOW_HASH_BITS = 48


class PacketKind(StrEnum):
    """What a packet does to its flow."""

    OPEN = "open"
    DATA = "data"
    CLOSE = "close"
    RESET = "reset"


class FlowKey(NamedTuple):
    """The five fields that identify a flow; addresses are in network byte order."""

    protocol: int
    caller_address: bytes
    caller_port: int
    service_address: bytes
    service_port: int


class CallerAddress(NamedTuple):
    """The UDP address that request answers go to."""

    address: str
    port: int


def flow_hash(key: FlowKey) -> int:
    """Return the 48-bit hash of a flow key; equal on every host."""
    packed = b"%c%b%b%b%b" % (
        key.protocol,
        key.caller_address,
        key.caller_port.to_bytes(2, "big"),
        key.service_address,
        key.service_port.to_bytes(2, "big"),
    )
    return xxhash.xxh3_64_intdigest(packed) >> (64 - FLOW_HASH_BITS)


def wire_id(name: str) -> int:
    """Return the 32-bit id that identifies a service or backend server in messages between hosts.

    The configuration check rejects a file in which two names share an id.
    """
    return xxhash.xxh32_intdigest(name.encode())
