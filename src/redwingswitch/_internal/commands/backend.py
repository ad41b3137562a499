"""``redwingswitch-standin backend``: one backend server stand-in."""

from __future__ import annotations

import asyncio
import socket

from redwingswitch._internal.cli import status_codes
from redwingswitch._internal.standins.backend_server import BackendServerStandIn
from redwingswitch._internal.utils.clocks import MonotonicClock

MAX_RUN_S = 3_600


def run(
    *, name: str, service: str, service_address: str, service_port: int, address: str, seconds: int
) -> int:
    """Run the stand-in for ``seconds``, at most an hour."""
    asyncio.run(
        _run(name, service, (socket.inet_aton(service_address), service_port), address, seconds)
    )
    return status_codes.SUCCESS


async def _run(
    name: str, service: str, destination: tuple[bytes, int], address: str, seconds: int
) -> None:
    server = BackendServerStandIn(
        name=name,
        service=service,
        address=address,
        destination=destination,
        clock=MonotonicClock(),
    )
    await server.start()
    print(f'[[backend_servers]]\nname = "{name}"\nservice = "{service}"\naddress = "{address}"')
    for key, port in server.ports._asdict().items():
        print(f"{key} = {port}", flush=True)
    await asyncio.sleep(min(seconds, MAX_RUN_S))
    print(f"runs: {server.requests.runs.total()}, flows: {len(server.tunnel.packets)}")
    server.close()
