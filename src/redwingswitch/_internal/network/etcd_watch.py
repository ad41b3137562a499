"""Watches one key through the JSON gateway of the etcd v3 API."""

from __future__ import annotations

from collections.abc import Callable
from typing import NoReturn, NotRequired, TypedDict

import msgspec
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.httputil import HTTPInputError
from tornado.simple_httpclient import HTTPTimeoutError

from redwingswitch._internal.exceptions import StoreUnavailableError
from redwingswitch._internal.network.etcd_gateway import (
    HTTP_OK,
    MAX_RESPONSE_BYTES,
    MS_PER_S,
    KeyValue,
    ResponseHeader,
    create_client,
    fetch_shielded,
    to_base64,
    to_stored_value,
)
from redwingswitch._internal.ports import StoredValue
from redwingswitch._internal.utils.decoding import DECODING_ERRORS

# A connection can fail silently, and a store that was restored sends nothing on an open watch until
# it has passed the watch's first revision. A watch is therefore reopened after this time, so that a
# change still reaches all hosts within 9 s.
WATCH_DURATION_MS = 5_000


class WatchEvent(TypedDict):
    """A change of the key; ``type`` is omitted for a new value."""

    type: NotRequired[str]
    kv: NotRequired[KeyValue]


class WatchResult(TypedDict):
    """The result in a message of the stream."""

    header: NotRequired[ResponseHeader]
    created: NotRequired[bool]
    canceled: NotRequired[bool]
    events: NotRequired[list[WatchEvent]]


class WatchMessage(TypedDict):
    """One line of the stream: a result, or an error that ends it."""

    result: NotRequired[WatchResult]
    error: NotRequired[dict[str, object]]


class EtcdWatch:
    """Opens one watch at a time and passes its values to a callback."""

    def __init__(self, *, connect_timeout_ms: int, duration_ms: int) -> None:
        self._connect_timeout_ms = connect_timeout_ms
        self._duration_ms = duration_ms
        self._client = create_client()

    def close(self) -> None:
        """Release the client's resources."""
        self._client.close()

    async def run(
        self,
        *,
        endpoint: str,
        key: str,
        start_revision: int,
        on_value: Callable[[StoredValue], None],
    ) -> None:
        """Watch for the set duration; raise StoreUnavailableError when the watch ends earlier."""
        stream = _WatchStream(on_value=on_value)
        create_request = {"key": to_base64(key.encode()), "start_revision": str(start_revision)}
        request = HTTPRequest(
            f"{endpoint}/v3/watch",
            method="POST",
            headers={"Content-Type": "application/json"},
            body=msgspec.json.encode({"create_request": create_request}),
            connect_timeout=self._connect_timeout_ms / MS_PER_S,
            request_timeout=self._duration_ms / MS_PER_S,
            streaming_callback=stream.feed,
            follow_redirects=False,
        )
        try:
            response = await fetch_shielded(self._client, request)
        except HTTPTimeoutError:
            if stream.created and stream.problem is None:
                return
            raise StoreUnavailableError("the store did not open a watch in time") from None
        except (HTTPClientError, OSError) as error:
            problem = stream.problem or str(error) or type(error).__name__
            raise StoreUnavailableError(f"the watch request failed: {problem}") from None
        finally:
            stream.closed = True
        status = "" if response.code == HTTP_OK else f" with HTTP {response.code}"
        raise StoreUnavailableError(f"the store ended the watch{status} {stream.problem or ''}")


class _WatchStream:
    """Parses the stream into messages and delivers new values."""

    def __init__(self, *, on_value: Callable[[StoredValue], None]) -> None:
        self.created = False
        self.closed = False
        self.problem: str | None = None
        self._on_value = on_value
        self._buffer = b""

    def feed(self, chunk: bytes) -> None:
        """Parse the next bytes of the stream."""
        if self.closed or self.problem:
            raise HTTPInputError("the watch has ended")
        *lines, self._buffer = (self._buffer + chunk).split(b"\n")
        if len(self._buffer) > MAX_RESPONSE_BYTES:
            self._raise_problem("a message exceeds the response size limit")
        for line in lines:
            if line.strip():
                self._on_message(line)

    def _on_message(self, line: bytes) -> None:
        try:
            message = msgspec.json.decode(line, type=WatchMessage, strict=False)
        except DECODING_ERRORS as error:
            self._raise_problem(f"invalid message ({error})")
        result = message.get("result")
        if result is None or result.get("canceled"):
            self._raise_problem(f"cancelled by the store {message.get('error', '')}")
        self.created |= result.get("created", False)
        for event in result.get("events", []):
            key_value = event.get("kv")
            if event.get("type", "PUT") == "PUT" and key_value is not None:
                self._on_value(to_stored_value(key_value))

    def _raise_problem(self, problem: str) -> NoReturn:
        # On this exception the client only closes the connection; others it also reports as errors.
        self.problem = problem
        raise HTTPInputError(problem)
