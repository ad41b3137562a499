"""``redwingswitch-standin backend``: run a simulated backend server for tests and trials."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Sequence

from redwingswitch._internal.cli import status_codes
from redwingswitch._internal.exceptions import RedwingswitchError
from redwingswitch._internal.standins.backend_server import (
    EPHEMERAL_PORTS,
    BackendPorts,
    BackendServerStandin,
)
from redwingswitch._internal.utils.clocks import MonotonicClock

MAX_RUN_S = 3_600


def run(
    *,
    name: str,
    service: str,
    service_address: str,
    service_port: int,
    address: str,
    seconds: int,
    ports: str | Sequence[int] = "",
    file_bytes: int = 0,
) -> int:
    """Run the stand-in for ``seconds``, at most an hour."""
    destination = (socket.inet_aton(service_address), service_port)
    asyncio.run(
        _run(
            name=name,
            service=service,
            destination=destination,
            address=address,
            seconds=seconds,
            ports=_parse_ports(ports),
            file_bytes=file_bytes,
        )
    )
    return status_codes.SUCCESS


def _parse_ports(ports: str | Sequence[int]) -> BackendPorts:
    # fire parses a value with commas into a tuple of numbers.
    numbers = (
        [int(part) for part in ports.split(",")] if isinstance(ports, str) and ports else ports
    )
    if not numbers:
        return EPHEMERAL_PORTS
    if len(numbers) != len(BackendPorts._fields):
        raise RedwingswitchError(f"--ports needs {', '.join(BackendPorts._fields)}")
    return BackendPorts(*(int(number) for number in numbers))


async def _run(
    *,
    name: str,
    service: str,
    destination: tuple[bytes, int],
    address: str,
    seconds: int,
    ports: BackendPorts,
    file_bytes: int,
) -> None:
    server = BackendServerStandin(
        name=name,
        service=service,
        address=address,
        destination=destination,
        clock=MonotonicClock(),
        ports=ports,
        file_bytes=file_bytes,
    )
    await server.start()
    print(f'[[backend_servers]]\nname = "{name}"\nservice = "{service}"\naddress = "{address}"')
    for key, port in server.ports._asdict().items():
        print(f"{key} = {port}", flush=True)
    await asyncio.sleep(min(seconds, MAX_RUN_S))
    print(f"runs: {server.requests.runs.total()}, flows: {len(server.tunnel.packets)}")
    server.close()
