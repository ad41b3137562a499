"""Stand-in for the platform's metadata store, with fault injection."""

from __future__ import annotations

import asyncio
import base64
import json
from enum import StrEnum
from http import HTTPStatus
from typing import NamedTuple

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.netutil import bind_sockets

MS_PER_S = 1_000
PAGE_ITEMS = 500
LOOPBACK = "127.0.0.1"
ERA_HEADER = "Store-Era"
OUT_OF_SERVICE_PREFIX = "op/evacuate/"


class Fault(StrEnum):
    """How the store fails a call instead of answering it."""

    BUSY = "busy"
    TOO_MANY = "many"
    RESET = "reset"
    SILENT = "silent"
    GARBAGE = "garbage"


class _Event(NamedTuple):
    revision: int
    key: str
    value: bytes | None


class StoreCopy(NamedTuple):
    """A backup of the store: its revision and the items at that revision."""

    revision: int
    items: dict[str, _Event]


class PlatformStoreStandin:
    """An in-memory store that is served over HTTP on a loopback port.

    ``fault`` applies to all calls until it is set to None. ``calls`` lists the paths of all calls,
    and ``queries`` their query arguments. ``era`` counts the restores from a copy; each response
    names it.
    """

    def __init__(self, *, page_items: int = PAGE_ITEMS) -> None:
        self.fault: Fault | None = None
        self.calls: list[str] = []
        self.queries: list[dict[str, str]] = []
        self._page_items = page_items
        self._items: dict[str, _Event] = {}
        self._history: list[_Event] = []
        self._discarded_revision = 0
        self._revision = 1
        self.era = 0
        self._changed = asyncio.Event()
        self._server: HTTPServer | None = None
        self.port = 0

    def start(self) -> None:
        """Listen on a free loopback port."""
        sockets = bind_sockets(0, LOOPBACK)
        self.port = sockets[0].getsockname()[1]
        self._server = HTTPServer(self._on_request)
        self._server.add_sockets(sockets)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()

    def put(self, key: str, value: object) -> int:
        """Write a value, as JSON unless it is bytes; return the revision."""
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        return self._record(key, content)

    def remove(self, key: str) -> int:
        """Remove a key; return the revision."""
        return self._record(key, None)

    def take_out_of_service(self, domain: str) -> int:
        """Take a failure domain out of service, as an operator does; return the revision."""
        return self.put(OUT_OF_SERVICE_PREFIX + domain, {})

    def take_back(self, domain: str) -> int:
        """Take a failure domain back into service; return the revision."""
        return self.remove(OUT_OF_SERVICE_PREFIX + domain)

    def list_keys(self, prefix: str) -> list[str]:
        """Return the keys that begin with a prefix."""
        return [key for key in self._items if key.startswith(prefix)]

    def discard_history(self) -> None:
        """Discard all changes so far; waiting watches are answered with status 410."""
        self._history.clear()
        self._discarded_revision = self._revision
        self._notify_watches()

    def take_copy(self) -> StoreCopy:
        """Return a backup of the present state."""
        return StoreCopy(self._revision, dict(self._items))

    def restore(self, copy: StoreCopy) -> None:
        """Return to the state of a copy: later changes are lost, and their revisions reused."""
        self.era += 1
        self._items = dict(copy.items)
        self._revision = copy.revision
        self._discarded_revision = min(self._discarded_revision, copy.revision)
        self._history = [event for event in self._history if event.revision <= copy.revision]
        self._notify_watches()

    def _record(self, key: str, value: bytes | None) -> int:
        self._revision += 1
        event = _Event(self._revision, key, value)
        if value is None:
            self._items.pop(key, None)
        else:
            self._items[key] = event
        self._history.append(event)
        self._notify_watches()
        return self._revision

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _on_request(self, request: HTTPServerRequest) -> None:
        self.calls.append(request.path)
        self.queries.append(
            {name: values[0].decode() for name, values in request.query_arguments.items()}
        )
        asyncio.get_running_loop().create_task(self._answer(request))

    async def _answer(self, request: HTTPServerRequest) -> None:
        fault = self.fault
        if fault is Fault.SILENT:
            return
        if fault is Fault.RESET:
            request.connection.detach().close()  # type: ignore[union-attr]
        elif fault is Fault.GARBAGE:
            self._respond(request, HTTPStatus.OK, b"{")
        elif fault is not None:
            busy = fault is Fault.BUSY
            status = HTTPStatus.SERVICE_UNAVAILABLE if busy else HTTPStatus.TOO_MANY_REQUESTS
            self._respond(request, status, b"{}")
        else:
            await self._serve(request)

    async def _serve(self, request: HTTPServerRequest) -> None:
        if request.path == "/v1/kv-range":
            self._respond(request, HTTPStatus.OK, self._range(request))
        elif request.path == "/v1/kv-key":
            self._read_key(request)
        elif request.path == "/v1/kv-watch":
            await self._watch(request)
        elif request.path == "/v1/kv-txn":
            self._transact(request)
        else:
            self._respond(request, HTTPStatus.NOT_FOUND, b"{}")

    def _read_key(self, request: HTTPServerRequest) -> None:
        found = self._items.get(_query_argument(request, "Key"))
        if found is None:
            self._respond(request, HTTPStatus.NOT_FOUND, b"{}")
            return
        body = {**_encode_item(found), "StoreRevision": self._revision}
        self._respond(request, HTTPStatus.OK, _encode_json(body))

    def _range(self, request: HTTPServerRequest) -> bytes:
        prefix, after = _query_argument(request, "Prefix"), _query_argument(request, "after")
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
        page = [_encode_item(self._items[key]) for key in keys[: self._page_items]]
        has_more = len(keys) > self._page_items
        return _encode_json({"items": page, "HasMore": has_more, "StoreRevision": self._revision})

    def _transact(self, request: HTTPServerRequest) -> None:
        body = json.loads(request.body)
        expected = {
            precondition["Key"]: precondition["Revision"] for precondition in body["ExpectedRev"]
        }
        stored = {key: self._items[key] for key in expected if key in self._items}
        if any(
            revision != (stored[key].revision if key in stored else 0)
            for key, revision in expected.items()
        ):
            items = [_encode_item(event) for event in stored.values()]
            self._respond(request, HTTPStatus.PRECONDITION_FAILED, _encode_json({"items": items}))
            return
        for entry in body["SetKeys"]:
            self.put(entry["Key"], base64.b64decode(entry["Value"]))
        for key in body["Remove"]:
            self.remove(key)
        self._respond(request, HTTPStatus.OK, _encode_json({"Revision": self._revision}))

    async def _watch(self, request: HTTPServerRequest) -> None:
        after = int(_query_argument(request, "after"))
        prefix = _query_argument(request, "Prefix")
        wait_s = int(_query_argument(request, "WaitMs")) / MS_PER_S
        deadline_s = asyncio.get_running_loop().time() + wait_s
        while True:
            if not self._discarded_revision <= after <= self._revision:
                self._respond(request, HTTPStatus.GONE, b"{}")
                return
            matching = [
                event
                for event in self._history
                if event.revision > after and event.key.startswith(prefix)
            ]
            remaining_s = deadline_s - asyncio.get_running_loop().time()
            if matching or remaining_s <= 0:
                events = [_encode_item(event) for event in matching]
                self._respond(
                    request,
                    HTTPStatus.OK,
                    _encode_json({"events": events, "StoreRevision": self._revision}),
                )
                return
            changed = self._changed
            try:
                async with asyncio.timeout(remaining_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def _respond(self, request: HTTPServerRequest, status: HTTPStatus, body: bytes) -> None:
        connection = request.connection
        if connection is None:
            return
        headers = HTTPHeaders(
            {
                "Content-Type": "application/json",
                "Content-Length": str(len(body)),
                ERA_HEADER: str(self.era),
            }
        )
        start_line = ResponseStartLine("HTTP/1.1", status, status.phrase)
        connection.write_headers(start_line, headers, body)
        connection.finish()


def _encode_item(event: _Event) -> dict[str, object]:
    if event.value is None:
        return {"Key": event.key, "Revision": event.revision, "Deleted": True}
    return {
        "Key": event.key,
        "Value": base64.b64encode(event.value).decode(),
        "Revision": event.revision,
        "Created": event.revision,
        "Lease": 0,
    }


def _query_argument(request: HTTPServerRequest, name: str) -> str:
    values = request.query_arguments.get(name, [b""])
    return values[0].decode()


def _encode_json(value: object) -> bytes:
    return json.dumps(value).encode()
