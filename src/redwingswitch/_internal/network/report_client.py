"""HTTP client of the load endpoints of backend servers."""

from __future__ import annotations

from typing import Annotated

import msgspec
from tornado.httpclient import AsyncHTTPClient
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from redwingswitch._internal.models.configuration import BackendServer
from redwingswitch._internal.models.requests import BackendReport

REPORT_TIMEOUT_S = 1.0
MAX_REPORT_BYTES = 65_536
MAX_CONCURRENT_READS = 32
# Reports are passed on between hosts in messages of 64-bit integers.
MAX_COUNT = 2**31 - 1

_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]


class LoadReport(msgspec.Struct):
    """The JSON document that ``GET /load`` returns; unknown members are ignored."""

    busy_slots: _Count
    open_connections: _Count
    draining: bool = False
    healthy: bool = True


class ReportClient:
    """Implements ``ports.BackendReportSource``."""

    def __init__(self) -> None:
        self._servers: dict[str, BackendServer] = {}
        self._client: AsyncHTTPClient = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CONCURRENT_READS, max_body_size=MAX_REPORT_BYTES
        )

    def update_servers(self, servers: dict[str, BackendServer]) -> None:
        """Replace the known backend servers."""
        self._servers = servers

    async def read(self, backend_server: str) -> BackendReport | None:
        """Return the latest report, or None if the endpoint returned no valid one in time."""
        server = self._servers.get(backend_server)
        if server is None:
            return None
        url = f"http://{server.address}:{server.report_port}/load"
        try:
            response = await self._client.fetch(
                url,
                connect_timeout=REPORT_TIMEOUT_S,
                request_timeout=REPORT_TIMEOUT_S,
                follow_redirects=False,
            )
            report = msgspec.json.decode(response.body, type=LoadReport)
        except Exception:
            # tornado raises many kinds of exceptions here; each means that there is no report.
            return None
        return BackendReport(
            backend_server,
            report.busy_slots,
            report.open_connections,
            report.draining,
            report.healthy,
        )

    def close(self) -> None:
        """Close the client."""
        self._client.close()
