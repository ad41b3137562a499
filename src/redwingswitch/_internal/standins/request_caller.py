"""Stand-in for a caller: sends and resends requests through the fabric and checks the answers."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.models.identifiers import REQUEST_ID_BYTES
from redwingswitch._internal.models.requests import AnswerHeader, Outcome, RequestHeader
from redwingswitch._internal.network.caller_codec import (
    AnswerDatagram,
    CancelDatagram,
    CancelHeader,
    RequestDatagram,
    decode_datagram,
    encode_datagram,
)
from redwingswitch._internal.network.datagrams import DatagramEndpoint
from redwingswitch._internal.ports import RandomSource
from redwingswitch._internal.standins.fabric import Fabric
from redwingswitch._internal.standins.work import Work, complete_answer, encode_work

MAX_REQUESTS_IN_PROGRESS = 10_000
MS_PER_S = 1_000
# The entry host may send the answer as late as the deadline, so the caller waits longer.
WAIT_AFTER_DEADLINE_MS = 1_000


class CallResult(NamedTuple):
    """Result of one request; ``outcome`` is None if no answer arrived.

    ``complete`` is true when the answer has exactly the bytes that the request asked for.
    """

    service: str
    request_id: bytes
    idempotent: bool
    outcome: Outcome | None
    complete: bool
    resends: int


class _PendingCall:
    """A request in progress."""

    def __init__(self, *, work: Work) -> None:
        self.work = work
        # Parts by answer id: an idempotent request may have run twice, and parts of different runs
        # must not be combined.
        self.answers: dict[int, dict[int, bytes]] = {}
        self.header: AnswerHeader | None = None
        self.has_conflicting_parts = False
        self.done = asyncio.Event()


class RequestCaller:
    """One caller with one UDP socket."""

    def __init__(
        self,
        *,
        address: str,
        fabric: Fabric,
        random_source: RandomSource,
        resend_interval_ms: int = 400,
        wait_after_deadline_ms: int = WAIT_AFTER_DEADLINE_MS,
    ) -> None:
        self._fabric = fabric
        self._random = random_source
        self._resend_interval_ms = resend_interval_ms
        self._wait_after_deadline_ms = wait_after_deadline_ms
        self._calls: dict[bytes, _PendingCall] = {}
        self._endpoint = DatagramEndpoint(address=address, port=0, on_datagram=self._on_datagram)

    def close(self) -> None:
        """Close the socket."""
        self._endpoint.close()

    async def call(
        self, *, service: str, work: Work, idempotent: bool, timeout_ms: int, body_parts: int = 1
    ) -> CallResult:
        """Send a request and resend it until its answer is complete or its time has run out."""
        if len(self._calls) >= MAX_REQUESTS_IN_PROGRESS:
            raise ValueError("too many requests in progress; wait for earlier ones")
        request_id = self._random.getrandbits(8 * REQUEST_ID_BYTES).to_bytes(
            REQUEST_ID_BYTES, "big"
        )
        call = _PendingCall(work=work)
        self._calls[request_id] = call
        header = RequestHeader(service, request_id, idempotent, timeout_ms, 0, body_parts)
        resends = await self._send_until_done(header, call)
        del self._calls[request_id]
        outcome = call.header.outcome if call.header else None
        return CallResult(
            service, request_id, idempotent, outcome, _is_complete(request_id, call), resends
        )

    def cancel(self, *, service: str, request_id: bytes) -> None:
        """Tell an entry host that the answer is no longer wanted."""
        data = encode_datagram(CancelDatagram(CancelHeader(service, request_id)))
        self._spray(data)

    async def _send_until_done(self, header: RequestHeader, call: _PendingCall) -> int:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + (header.remaining_ms + self._wait_after_deadline_ms) / MS_PER_S
        deadline_s = loop.time() + header.remaining_ms / MS_PER_S
        sends = 0
        while loop.time() < end_s and not call.done.is_set():
            remaining_ms = int((deadline_s - loop.time()) * MS_PER_S)
            if remaining_ms > 0:
                self._send(header._replace(remaining_ms=remaining_ms), encode_work(call.work))
                sends += 1
            wait_s = min(self._resend_interval_ms / MS_PER_S, end_s - loop.time())
            try:
                await asyncio.wait_for(call.done.wait(), max(wait_s, 0))
            except TimeoutError:
                continue
        return max(sends - 1, 0)

    def _send(self, header: RequestHeader, body: bytes) -> None:
        size_bytes = -(-len(body) // header.parts)
        for part in range(header.parts):
            content = body[part * size_bytes : (part + 1) * size_bytes]
            data = encode_datagram(RequestDatagram(header._replace(part=part), content))
            self._spray(data)

    def _spray(self, data: bytes) -> None:
        self._fabric.spray(
            lambda host: self._endpoint.send(data, (host.address, host.request_port))
        )

    def _on_datagram(self, data: bytes, _: tuple[str, int]) -> None:
        try:
            datagram = decode_datagram(data)
        except DecodeError:
            return
        if not isinstance(datagram, AnswerDatagram):
            return
        call = self._calls.get(datagram.header.request_id)
        if call is not None and not call.done.is_set():
            _add_answer_part(call, datagram)


def _add_answer_part(call: _PendingCall, datagram: AnswerDatagram) -> None:
    header = datagram.header
    if header.outcome is not Outcome.ANSWERED:
        call.header = header
        call.done.set()
        return
    parts = call.answers.setdefault(header.answer_id, {})
    earlier = parts.setdefault(header.part, datagram.body)
    if earlier != datagram.body:
        call.has_conflicting_parts = True
    if len(parts) == header.parts:
        call.header = header
        call.done.set()


def _is_complete(request_id: bytes, call: _PendingCall) -> bool:
    if (
        call.has_conflicting_parts
        or call.header is None
        or call.header.outcome is not Outcome.ANSWERED
    ):
        return False
    parts = call.answers[call.header.answer_id]
    content = b"".join(parts[part] for part in sorted(parts))
    return content == complete_answer(request_id=request_id, work=call.work)
