"""Reads the status of many entry hosts from their admin endpoints."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from redwingswitch._internal.models.status import FleetStatus, HostStatus

MAX_CONCURRENT_HOSTS = 64
MAX_STATUS_BYTES = 8_000_000
MS_PER_S = 1_000

_decoder = msgspec.json.Decoder(HostStatus)


class HttpFleet:
    """A ``FleetStatusSource`` that asks ``GET /status``; a host has ``timeout_ms`` to answer."""

    def __init__(self, *, timeout_ms: int) -> None:
        self._timeout_ms = timeout_ms
        self._client = AsyncHTTPClient(
            force_instance=True, max_clients=MAX_CONCURRENT_HOSTS, max_body_size=MAX_STATUS_BYTES
        )
        self._slots = asyncio.Semaphore(MAX_CONCURRENT_HOSTS)

    def close(self) -> None:
        """Release the client's resources."""
        self._client.close()

    async def read(self, endpoints: Sequence[str]) -> FleetStatus:
        """Ask every endpoint, an ``address:port``, for its status."""
        distinct = tuple(dict.fromkeys(endpoints))
        answers = await asyncio.gather(*(self._ask(endpoint) for endpoint in distinct))
        return FleetStatus(
            statuses=tuple(answer for answer in answers if answer is not None),
            silent_endpoints=tuple(
                endpoint
                for endpoint, answer in zip(distinct, answers, strict=True)
                if answer is None
            ),
        )

    async def _ask(self, endpoint: str) -> HostStatus | None:
        async with self._slots:
            try:
                response = await self._client.fetch(
                    f"http://{endpoint}/status",
                    connect_timeout=self._timeout_ms / MS_PER_S,
                    request_timeout=self._timeout_ms / MS_PER_S,
                    follow_redirects=False,
                )
                return _decoder.decode(response.body)
            except (HTTPClientError, OSError, msgspec.MsgspecError, ValueError):
                return None
