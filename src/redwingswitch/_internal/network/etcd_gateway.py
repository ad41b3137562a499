"""Client of the JSON gateway of the etcd v3 API, with failover between endpoints."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Callable, Sequence
from enum import Enum, auto
from typing import NotRequired, TypedDict, TypeVar

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse

from redwingswitch._internal.exceptions import StoreOutcomeUnknownError, StoreUnavailableError
from redwingswitch._internal.ports import StoredValue
from redwingswitch._internal.utils.decoding import DECODING_ERRORS

T = TypeVar("T")

MAX_CONCURRENT_CALLS = 16
# A value of 1 MB is a third longer in base64; the remainder is for the other fields.
MAX_RESPONSE_BYTES = 2_000_000
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_REQUEST_TIMEOUT = 408
CLIENT_ERROR_CODES = range(400, 500)
MS_PER_S = 1_000


class ResponseHeader(TypedDict):
    """The store's revision at the time of a response; each write to any key increases it."""

    revision: NotRequired[int]


class KeyValue(TypedDict):
    """A key and its value; the gateway omits fields that are 0 or empty."""

    key: str
    value: NotRequired[str]
    mod_revision: NotRequired[int]
    lease: NotRequired[int]


class RangeResponse(TypedDict):
    """The response to ``kv/range``."""

    header: NotRequired[ResponseHeader]
    kvs: NotRequired[list[KeyValue]]


class TransactionResponse(TypedDict):
    """The response to ``kv/txn``."""

    header: NotRequired[ResponseHeader]
    succeeded: NotRequired[bool]


class LeaseResponse(TypedDict):
    """The response to ``lease/grant``, and the result in that to ``lease/keepalive``."""

    ID: NotRequired[int]
    TTL: NotRequired[int]


class KeepAliveResponse(TypedDict):
    """The response to ``lease/keepalive``."""

    result: NotRequired[LeaseResponse]


class EmptyResponse(TypedDict):
    """A response whose fields are not used."""


class CallEffect(Enum):
    """The effect of a call, which decides whether it may be sent to a second endpoint."""

    READ = auto()
    IDEMPOTENT_WRITE = auto()
    NON_IDEMPOTENT_WRITE = auto()


class _CallError(Exception):
    """A call to one endpoint failed; ``may_have_run`` tells whether the store may have run it."""

    def __init__(self, problem: str, *, may_have_run: bool) -> None:
        super().__init__(problem)
        self.may_have_run = may_have_run


class _NotFoundError(_CallError):
    """The store has no object with the given id."""


def to_base64(data: bytes) -> str:
    """Return ``data`` in base64, the gateway's representation of bytes in JSON."""
    return base64.b64encode(data).decode()


def to_stored_value(key_value: KeyValue) -> StoredValue:
    """Convert a key of a response to a ``StoredValue``."""
    value = base64.b64decode(key_value.get("value", ""))
    return StoredValue(value=value, version=key_value.get("mod_revision", 0))


class EtcdGateway:
    """Tries the endpoints of one store in order, beginning with the last one that answered."""

    def __init__(self, *, endpoints: Sequence[str], timeout_ms: int) -> None:
        self._endpoints = list(endpoints)
        self._timeout_ms = timeout_ms
        self._client = create_client()

    def close(self) -> None:
        """Release the client's resources."""
        self._client.close()

    @property
    def preferred_endpoint(self) -> str:
        """The endpoint that is tried first."""
        return self._endpoints[0]

    async def call(
        self,
        path: str,
        body: object,
        *,
        response_type: type[T],
        effect: CallEffect,
        not_found: T | None = None,
    ) -> T:
        """Send ``body`` to ``path``; each endpoint has ``timeout_ms`` to answer.

        ``not_found``, unless None, is returned when the store has no such object.
        Raise StoreOutcomeUnknownError when a write may have run, and StoreUnavailableError when
        the call certainly had no effect.
        """
        payload = msgspec.json.encode(body)
        may_have_run = False
        problems: list[str] = []
        for endpoint in tuple(self._endpoints):
            try:
                response = await self._post(f"{endpoint}/v3/{path}", payload, response_type)
            except _NotFoundError as failure:
                if not_found is not None:
                    return not_found
                problems.append(f"{endpoint}: {failure}")
            except _CallError as failure:
                problems.append(f"{endpoint}: {failure}")
                may_have_run |= failure.may_have_run
                if failure.may_have_run and effect is CallEffect.NON_IDEMPOTENT_WRITE:
                    break
            else:
                self._move_to_front(endpoint)
                return response
        text = "; ".join(problems)
        if may_have_run and effect is not CallEffect.READ:
            raise StoreOutcomeUnknownError(f"the store did not confirm {path}: {text}")
        raise StoreUnavailableError(f"the store did not answer {path}: {text}")

    def _move_to_front(self, endpoint: str) -> None:
        self._endpoints.remove(endpoint)
        self._endpoints.insert(0, endpoint)

    async def _post(self, url: str, payload: bytes, response_type: type[T]) -> T:
        body_sent = False

        def write_body(write: Callable[[bytes], None]) -> asyncio.Future[None]:
            nonlocal body_sent
            body_sent = True
            write(payload)
            done: asyncio.Future[None] = asyncio.Future()
            done.set_result(None)
            return done

        request = HTTPRequest(
            url,
            method="POST",
            headers={"Content-Type": "application/json", "Content-Length": str(len(payload))},
            body_producer=write_body,
            connect_timeout=self._timeout_ms / MS_PER_S,
            request_timeout=self._timeout_ms / MS_PER_S,
            follow_redirects=False,
        )
        try:
            response = await fetch_shielded(self._client, request)
        except (HTTPClientError, OSError) as error:
            problem = str(error) or type(error).__name__
            raise _CallError(problem, may_have_run=body_sent) from None
        return _decode_response(response, response_type)


def create_client() -> AsyncHTTPClient:
    """Return a new client; separate clients keep watches and calls from blocking each other."""
    return AsyncHTTPClient(
        force_instance=True, max_clients=MAX_CONCURRENT_CALLS, max_body_size=MAX_RESPONSE_BYTES
    )


async def fetch_shielded(client: AsyncHTTPClient, request: HTTPRequest) -> HTTPResponse:
    """Return the response to ``request``.

    The client keeps a request until its timeout even if the caller was cancelled, and would then
    report a cancelled future, or an exception that nobody retrieved, as an error. Cancelling this
    call therefore does not cancel the client's future, and a callback retrieves its exception.
    """
    response_future = client.fetch(request, raise_error=False)
    response_future.add_done_callback(lambda future: future.exception())
    return await asyncio.shield(response_future)


def _decode_response(response: HTTPResponse, response_type: type[T]) -> T:
    if response.code == HTTP_NOT_FOUND:
        raise _NotFoundError("not found", may_have_run=False)
    if response.code != HTTP_OK:
        # The gateway rejects an invalid request before it runs it. After any other status the
        # request may have run.
        rejected = response.code in CLIENT_ERROR_CODES and response.code != HTTP_REQUEST_TIMEOUT
        text = response.body[:200].decode(errors="replace").strip()
        raise _CallError(f"HTTP {response.code} {text}", may_have_run=not rejected)
    try:
        return msgspec.json.decode(response.body, type=response_type, strict=False)
    except DECODING_ERRORS as error:
        raise _CallError(f"invalid response ({error})", may_have_run=True) from None
