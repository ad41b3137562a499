"""HTTP client of the platform's list of hosts: a JSON array of objects with host and leaving.

The platform is the users' environment, which runs the entry hosts and serves this list.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
from tornado.httpclient import AsyncHTTPClient
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from redwingswitch._internal.exceptions import (
    DecodeError,
    HostListUnavailableError,
)
from redwingswitch._internal.models.events import ListedHost
from redwingswitch._internal.utils.decoding import DECODING_ERRORS

READ_TIMEOUT_S = 2.0
MAX_LIST_BYTES = 1_000_000


class _HostEntry(msgspec.Struct):
    """A host in the list; unknown members are ignored."""

    host: str
    leaving: bool = False


class HttpHostList:
    """Implements ``ports.HostList``."""

    def __init__(self, *, url: str) -> None:
        self._url = url
        self._client: AsyncHTTPClient = SimpleAsyncHTTPClient(
            force_instance=True, max_body_size=MAX_LIST_BYTES
        )

    async def read(self) -> Sequence[ListedHost]:
        """Return the listed hosts; raise HostListUnavailableError or DecodeError on failure."""
        try:
            response = await self._client.fetch(
                self._url,
                connect_timeout=READ_TIMEOUT_S,
                request_timeout=READ_TIMEOUT_S,
                follow_redirects=False,
            )
        except Exception as error:
            # tornado raises many kinds of exceptions here; each means that the list is unavailable.
            raise HostListUnavailableError(
                f"{self._url} did not return a host list: {error}"
            ) from error
        try:
            entries = msgspec.json.decode(response.body, type=list[_HostEntry])
        except DECODING_ERRORS as error:
            raise DecodeError(f"{self._url} returned an invalid host list: {error}") from error
        return [ListedHost(entry.host, entry.leaving) for entry in entries]
