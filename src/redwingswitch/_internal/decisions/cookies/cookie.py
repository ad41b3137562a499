"""The cookie that names a flow's backend server in each of its packets."""

from __future__ import annotations

import struct

import xxhash

from redwingswitch._internal.models.cookie_flows import RouteAddress

# A caller's first packet carries this value, so it names no server.
NO_COOKIE = 0
_DESTINATION = struct.Struct(">IH")


def flow_cookie(*, server_id: str, destination: RouteAddress) -> int:
    """Return the 32-bit cookie of a server for flows to ``destination``; never ``NO_COOKIE``.

    Every host computes the same value without agreement, also after a restart. The destination is
    part of it, so that a cookie copied from a flow of one service names no server of another.
    """
    digest = xxhash.xxh32_intdigest(
        _DESTINATION.pack(destination.address, destination.port) + server_id.encode()
    )
    return digest or 1
