"""Stand-in for the key-value store: the etcd v3 JSON gateway, with fault injection."""

from __future__ import annotations

import asyncio
import base64
from collections import Counter
from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import Any

import msgspec
from tornado.httpserver import HTTPServer
from tornado.ioloop import PeriodicCallback
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from redwingswitch._internal.ports import Clock
from redwingswitch._internal.standins.store_state import (
    Change,
    Comparison,
    Entry,
    Put,
    StoreRefusalError,
    StoreSnapshot,
    StoreState,
)

LEASE_CHECK_MS = 100
MAX_BODY_BYTES = 4_000_000
MAX_DELAY_MS = 60_000
HTTP_UNAVAILABLE = 503
MS_PER_S = 1_000


class CallKind(StrEnum):
    """Kinds of calls, each counted and subject to injected faults."""

    RANGE = "kv/range"
    TXN = "kv/txn"
    GRANT = "lease/grant"
    KEEP_ALIVE = "lease/keepalive"
    REVOKE = "lease/revoke"
    WATCH = "watch"


class StoreFaults:
    """Faults to inject into the next calls; each affected call decrements the count of its kind.

    ``down`` and ``lose_before`` close the connection before a call takes effect, ``lose_after``
    closes it afterwards, and ``fail_after`` answers with an error afterwards. Calls wait while
    ``released`` is not set.
    """

    def __init__(self) -> None:
        self.down = False
        self.delay_ms = 0
        self.lose_before: Counter[CallKind] = Counter()
        self.lose_after: Counter[CallKind] = Counter()
        self.fail_after: Counter[CallKind] = Counter()
        self.released = asyncio.Event()
        self.released.set()

    def consume(self, faults: Counter[CallKind], call: CallKind) -> bool:
        """Use up one fault of a kind of call; return whether there was one."""
        if faults[call] <= 0:
            return False
        faults[call] -= 1
        return True


class EtcdGatewayStandin:
    """HTTP server of the stand-in, whose faults and content can be changed while it runs."""

    def __init__(self, *, clock: Clock) -> None:
        self.state = StoreState()
        self.faults = StoreFaults()
        self.snapshot: StoreSnapshot = self.state.snapshot()
        self.clock = clock
        self.port = 0
        self._server: HTTPServer | None = None
        self._expiry_timer = PeriodicCallback(self._expire, LEASE_CHECK_MS)

    def start(self, *, port: int = 0, address: str = "127.0.0.1") -> None:
        """Listen on ``port``, or on a free port if it is 0; ``self.port`` is the port in use."""
        routes: list[Any] = [
            (rf"/v3/{call.value}", handler, {"standin": self, "call": call})
            for call, handler in HANDLERS.items()
        ]
        routes.append((r"/standin/([a-z-]+)", ControlHandler, {"standin": self}))
        sockets = bind_sockets(port, address)
        self._server = HTTPServer(
            Application(routes, log_function=lambda _: None), max_body_size=MAX_BODY_BYTES
        )
        self._server.add_sockets(sockets)
        self._expiry_timer.start()
        self.port = int(sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Close the listener and all connections."""
        self._expiry_timer.stop()
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()

    def calls(self) -> dict[str, int]:
        """Return the number of calls by kind and the number of open watches."""
        return {**self.state.calls, "waiting watches": self.state.waiting_watches()}

    def _expire(self) -> None:
        self.state.expire(self.clock.now_ms())


class CallHandler(RequestHandler):
    """Handles one kind of call; subclasses execute it."""

    def initialize(self, standin: EtcdGatewayStandin, call: CallKind) -> None:
        """Store the arguments of the route."""
        self.standin = standin
        self.call = call

    async def post(self) -> None:
        """Execute and answer the call, unless a fault is to be injected."""
        faults = self.standin.faults
        self.standin.state.calls[self.call.value] += 1
        await asyncio.sleep(faults.delay_ms / MS_PER_S)
        await faults.released.wait()
        if faults.down or faults.consume(faults.lose_before, self.call):
            self._close_connection()
            return
        self.standin.state.expire(self.standin.clock.now_ms())
        await self._answer(faults)

    async def _answer(self, faults: StoreFaults) -> None:
        try:
            reply = self.execute(msgspec.json.decode(self.request.body))
        except StoreRefusalError as refusal:
            self._refuse(refusal.status, str(refusal))
            return
        if faults.consume(faults.lose_after, self.call):
            self._close_connection()
        elif faults.consume(faults.fail_after, self.call):
            self._refuse(HTTP_UNAVAILABLE, "etcdserver: request timed out")
        else:
            await self._reply(reply)

    async def _reply(self, reply: dict[str, Any]) -> None:
        self.set_header("Content-Type", "application/json")
        await self.finish(msgspec.json.encode(reply))

    def execute(self, body: dict[str, Any]) -> dict[str, Any]:
        """Execute the call and return the reply."""
        raise NotImplementedError

    def header(self) -> dict[str, str]:
        """Return the header of a reply."""
        return {"revision": str(self.standin.state.revision)}

    def _refuse(self, status: int, problem: str) -> None:
        self.set_status(status)
        self.finish(msgspec.json.encode({"error": problem, "message": problem}))

    def _close_connection(self) -> None:
        self.detach().close()


class RangeHandler(CallHandler):
    """Reads one key."""

    def execute(self, body: dict[str, Any]) -> dict[str, Any]:
        """Return the key, if it exists."""
        key = _decode_key(body["key"])
        entry = self.standin.state.get(key)
        if entry is None:
            return {"header": self.header()}
        return {"header": self.header(), "kvs": [_encode_entry(key, entry)], "count": "1"}


class TxnHandler(CallHandler):
    """Executes a transaction."""

    def execute(self, body: dict[str, Any]) -> dict[str, Any]:
        """Write if all comparisons hold; return whether they did."""
        comparisons = [_parse_comparison(c) for c in body.get("compare", [])]
        puts = [_parse_put(request["request_put"]) for request in body.get("success", [])]
        if not self.standin.state.transact(comparisons, puts):
            return {"header": self.header()}
        return {"header": self.header(), "succeeded": True}


class GrantHandler(CallHandler):
    """Grants a lease."""

    def execute(self, body: dict[str, Any]) -> dict[str, Any]:
        """Return the new lease."""
        ttl_s = int(body["TTL"])
        lease_id = self.standin.state.grant(ttl_s, self.standin.clock.now_ms())
        return {"header": self.header(), "ID": str(lease_id), "TTL": str(ttl_s)}


class KeepAliveHandler(CallHandler):
    """Extends a lease."""

    def execute(self, body: dict[str, Any]) -> dict[str, Any]:
        """Return the time to live; as in etcd, the field is absent if the lease has expired."""
        ttl_s = self.standin.state.keep_alive(int(body["ID"]), self.standin.clock.now_ms())
        result = {"header": self.header(), "ID": str(body["ID"])}
        return {"result": {**result, "TTL": str(ttl_s)} if ttl_s else result}


class RevokeHandler(CallHandler):
    """Revokes a lease."""

    def execute(self, body: dict[str, Any]) -> dict[str, Any]:
        """Delete the lease and its keys."""
        self.standin.state.revoke(int(body["ID"]))
        return {"header": self.header()}


class WatchHandler(CallHandler):
    """Streams the changes of one key."""

    def initialize(self, standin: EtcdGatewayStandin, call: CallKind) -> None:
        """Store the arguments of the route."""
        super().initialize(standin, call)
        self._closed = asyncio.Event()

    def on_connection_close(self) -> None:
        """End the stream."""
        self._closed.set()

    async def _answer(self, faults: StoreFaults) -> None:
        create = msgspec.json.decode(self.request.body)["create_request"]
        key = _decode_key(create["key"])
        watch = self.standin.state.open_watch(key, int(create.get("start_revision", 0)))
        try:
            await self._send({"created": True})
            while not self._closed.is_set():
                change = await self._next_change(watch.changes.get)
                if change is None or faults.consume(faults.lose_after, self.call):
                    self._close_connection()
                    return
                await self._send({"events": [_encode_event(change)]})
        except StreamClosedError:
            return
        finally:
            self.standin.state.close_watch(watch)

    async def _next_change(self, get: Callable[[], Awaitable[Change]]) -> Change | None:
        """Return the next change, or None if the client has disconnected."""
        next_change = asyncio.ensure_future(get())
        disconnected = asyncio.ensure_future(self._closed.wait())
        await asyncio.wait({next_change, disconnected}, return_when=asyncio.FIRST_COMPLETED)
        disconnected.cancel()
        if next_change.done():
            return next_change.result()
        next_change.cancel()
        return None

    async def _send(self, result: dict[str, Any]) -> None:
        self.write(msgspec.json.encode({"result": {"header": self.header(), **result}}) + b"\n")
        await self.flush()


class ControlHandler(RequestHandler):
    """Lets users and tests control a running stand-in."""

    def initialize(self, standin: EtcdGatewayStandin) -> None:
        """Store the arguments of the route."""
        self.standin = standin

    def get(self, command: str) -> None:
        """Answer the command ``calls`` with the number of calls."""
        if command != "calls":
            self.send_error(404)
            return
        self.finish(msgspec.json.encode(self.standin.calls()))

    def post(self, command: str) -> None:
        """Execute a command; ``faults`` takes a body such as {"delay_ms": 100}."""
        commands: dict[str, Callable[[], None]] = {
            "faults": self._set_faults,
            "snapshot": self._snapshot,
            "restore": lambda: self.standin.state.restore(self.standin.snapshot),
            "expire-leases": self.standin.state.expire_all,
        }
        if command not in commands:
            self.send_error(404)
            return
        commands[command]()
        self.finish(b"{}")

    def _snapshot(self) -> None:
        self.standin.snapshot = self.standin.state.snapshot()

    def _set_faults(self) -> None:
        fields = msgspec.json.decode(self.request.body)
        faults = self.standin.faults
        faults.down = bool(fields.get("down", faults.down))
        faults.delay_ms = min(int(fields.get("delay_ms", faults.delay_ms)), MAX_DELAY_MS)
        for name in ("lose_before", "lose_after", "fail_after"):
            for call, count in fields.get(name, {}).items():
                getattr(faults, name)[CallKind(call)] = int(count)


HANDLERS: dict[CallKind, type[CallHandler]] = {
    CallKind.RANGE: RangeHandler,
    CallKind.TXN: TxnHandler,
    CallKind.GRANT: GrantHandler,
    CallKind.KEEP_ALIVE: KeepAliveHandler,
    CallKind.REVOKE: RevokeHandler,
    CallKind.WATCH: WatchHandler,
}


def _decode_key(encoded: str) -> str:
    return base64.b64decode(encoded).decode()


def _encode_entry(key: str, entry: Entry) -> dict[str, str]:
    return {
        "key": base64.b64encode(key.encode()).decode(),
        "value": base64.b64encode(entry.value).decode(),
        "create_revision": str(entry.create_revision),
        "mod_revision": str(entry.mod_revision),
        "version": str(entry.version),
        "lease": str(entry.lease_id),
    }


def _encode_event(change: Change) -> dict[str, Any]:
    if change.entry is not None:
        return {"kv": _encode_entry(change.key, change.entry)}
    key = base64.b64encode(change.key.encode()).decode()
    return {"type": "DELETE", "kv": {"key": key, "mod_revision": str(change.revision)}}


def _parse_comparison(fields: dict[str, Any]) -> Comparison:
    target, key = fields["target"], _decode_key(fields["key"])
    if fields.get("result", "EQUAL") != "EQUAL":
        raise StoreRefusalError(status=400, problem="unsupported comparison")
    if target == "MOD":
        return Comparison(key, mod_revision=int(fields.get("mod_revision", 0)))
    if target == "VALUE":
        return Comparison(key, value=base64.b64decode(fields.get("value", "")))
    raise StoreRefusalError(status=400, problem="unsupported comparison")


def _parse_put(fields: dict[str, Any]) -> Put:
    value = base64.b64decode(fields.get("value", ""))
    return Put(_decode_key(fields["key"]), value, int(fields.get("lease", 0)))
