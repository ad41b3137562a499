"""Callers of the soak, and the routers that distribute their packets over the hosts."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from ipaddress import IPv4Address

from redwingswitch._internal.platform.standins.flows import (
    ACKNOWLEDGE,
    RESET,
    Flow,
    Packet,
    PlatformCallerStandin,
    decode,
)

CHECK_INTERVAL_S = 0.5
CHECK_TIMEOUT_S = 0.4
FAILED_CHECKS_TO_LEAVE = 2
READY_LINE = b"HTTP/1.1 200"

Address = tuple[str, int]


class Routers:
    """Check the readiness of each host twice a second and spread flows over the ready hosts."""

    def __init__(self, hosts: list[Address]) -> None:
        self._hosts = hosts
        self._failed_checks = dict.fromkeys(hosts, FAILED_CHECKS_TO_LEAVE)

    def rotation(self) -> list[Address]:
        """Return the hosts that receive packets; all hosts when fewer than half are ready."""
        ready = [host for host in self._hosts if self._failed_checks[host] < FAILED_CHECKS_TO_LEAVE]
        return ready if 2 * len(ready) >= len(self._hosts) else self._hosts

    def is_in_rotation(self, host: Address) -> bool:
        """Return whether a host passes its readiness checks."""
        return self._failed_checks[host] < FAILED_CHECKS_TO_LEAVE

    async def run(self) -> None:
        """Run readiness checks until cancelled."""
        while True:
            await asyncio.gather(*(self._check(host) for host in self._hosts))
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _check(self, host: Address) -> None:
        is_ready = False
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                is_ready = await self._is_ready(host)
        self._failed_checks[host] = 0 if is_ready else self._failed_checks[host] + 1

    async def _is_ready(self, host: Address) -> bool:
        reader, writer = await asyncio.open_connection(*host)
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return (await reader.readline()).startswith(READY_LINE)
        finally:
            writer.close()


class SoakCaller(PlatformCallerStandin):
    """Callers whose packets go to the host that the routers currently select.

    ``on_reset`` receives the port of the flow and the address that sent the reset.
    """

    def __init__(
        self, *, address: str, routers: Routers, on_reset: Callable[[int, str], None]
    ) -> None:
        super().__init__(address=address)
        self._routers = routers
        self._on_reset = on_reset
        self._pinned: dict[int, Address] = {}

    def open_through(self, host: Address, destination: Address) -> tuple[int, Flow]:
        """Open a flow whose packets all go to one host; return its port and the flow."""
        port = self._next_port
        self._pinned[port] = host
        return port, self.create_flow(destination)

    def open_routed(self, destination: Address) -> tuple[int, Flow]:
        """Open a flow through the routers; return its port and the flow."""
        return self._next_port, self.create_flow(destination)

    def send_to_other_service(self, flow: Flow, port: int, destination: Address) -> None:
        """Send a packet with the cookie of a flow to the address of another service."""
        packet = Packet(
            cookie=flow.cookie,
            sequence=1,
            acknowledged=0,
            source_port=port,
            destination_port=destination[1],
            destination=int(IPv4Address(destination[0])),
            source=self.address,
            flags=ACKNOWLEDGE,
            data=b"astray",
        )
        self.send(packet, ("", 0))

    def on_datagram(self, data: bytes, sender: Address) -> None:
        """Report a reset, then pass the packet to its flow."""
        packet = decode(data)
        if packet.flags & RESET:
            self._on_reset(packet.destination_port, sender[0])
        super().on_datagram(data, sender)

    def send(self, packet: Packet, host: Address) -> None:
        """Send a packet to the host that the routers select."""
        rotation = self._routers.rotation()
        routed = rotation[hash((packet.source_port, packet.destination_port)) % len(rotation)]
        super().send(packet, self._pinned.get(packet.source_port, routed))
