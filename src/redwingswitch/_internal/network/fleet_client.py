"""Reads the status of many entry hosts from their admin endpoints."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from redwingswitch._internal.models.status import FleetStatus, HostStatus
from redwingswitch._internal.utils.decoding import DECODING_ERRORS

MAX_CONCURRENT_HOSTS = 64
MAX_STATUS_BYTES = 8_000_000
MS_PER_S = 1_000

_decoder = msgspec.json.Decoder(HostStatus)


class HttpFleetStatusSource:
    """A ``FleetStatusSource`` over ``GET /status``; a host has ``timeout_ms`` to answer."""

    def __init__(self, *, timeout_ms: int) -> None:
        self._timeout_ms = timeout_ms
        self._client = AsyncHTTPClient(
            force_instance=True, max_clients=MAX_CONCURRENT_HOSTS, max_body_size=MAX_STATUS_BYTES
        )
        self._concurrency = asyncio.Semaphore(MAX_CONCURRENT_HOSTS)

    def close(self) -> None:
        """Release the client's resources."""
        self._client.close()

    async def read(self, endpoints: Sequence[str]) -> FleetStatus:
        """Request the status of every endpoint, an ``address:port``."""
        unique_endpoints = tuple(dict.fromkeys(endpoints))
        statuses = await asyncio.gather(
            *(self._read_status(endpoint) for endpoint in unique_endpoints)
        )
        return FleetStatus(
            statuses=tuple(status for status in statuses if status is not None),
            silent_endpoints=tuple(
                endpoint
                for endpoint, status in zip(unique_endpoints, statuses, strict=True)
                if status is None
            ),
        )

    async def _read_status(self, endpoint: str) -> HostStatus | None:
        async with self._concurrency:
            try:
                response = await self._client.fetch(
                    f"http://{endpoint}/status",
                    connect_timeout=self._timeout_ms / MS_PER_S,
                    request_timeout=self._timeout_ms / MS_PER_S,
                    follow_redirects=False,
                )
                return _decoder.decode(response.body)
            except (HTTPClientError, OSError, *DECODING_ERRORS):
                return None
