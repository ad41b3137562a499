"""The cookie in each packet of a flow, which identifies the backend server."""

from __future__ import annotations

import struct

import xxhash

from redwingswitch._internal.models.cookie_flows import RouteAddress

# Value in a caller's first packet; never the cookie of a server.
NO_COOKIE = 0
_DESTINATION = struct.Struct(">IH")


def flow_cookie(*, server_id: str, destination: RouteAddress) -> int:
    """Return the 32-bit cookie of a server for flows to ``destination``; never ``NO_COOKIE``.

    The value depends only on the arguments, so all hosts compute the same one without coordination,
    also after a restart. It includes the destination, so that a cookie copied from a flow of one
    service identifies no server of another.
    """
    digest = xxhash.xxh32_intdigest(
        _DESTINATION.pack(destination.address, destination.port) + server_id.encode()
    )
    return digest or 1
