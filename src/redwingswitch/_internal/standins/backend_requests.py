"""The request endpoint of a backend server stand-in: framed msgpack over TCP."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import NamedTuple

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.network.frames import (
    LENGTH_BYTES,
    AnswerFrame,
    BackendFrame,
    CancelFrame,
    DispatchFrame,
    RefuseFrame,
    ShedFrame,
    decode_content,
    decode_length,
    encode_frame,
)
from redwingswitch._internal.ports import Clock
from redwingswitch._internal.standins.work import Work, answer_part, decode_work

MAX_COUNTED_REQUESTS = 200_000
MS_PER_S = 1_000


class Behaviour(NamedTuple):
    """How a backend server stand-in treats requests.

    ``cold_start_extra_ms`` is added to every run during the first ``cold_start_duration_ms`` after
    the start.
    ``hang`` accepts requests and never answers. ``reset`` closes the connection at the first
    request. ``refuse`` refuses every request. ``reverse_parts`` sends answer parts in reverse.
    """

    slots: int = 2
    cold_start_extra_ms: int = 0
    cold_start_duration_ms: int = 0
    hang: bool = False
    reset: bool = False
    refuse: bool = False
    reverse_parts: bool = False


class RequestEndpoint(TCPServer):
    """Runs requests on a fixed number of slots and sheds requests while no slot is free."""

    def __init__(self, *, service: str, behaviour: Behaviour, clock: Clock) -> None:
        super().__init__()
        self.behaviour = behaviour
        self.runs: Counter[bytes] = Counter()
        self.finished: Counter[bytes] = Counter()
        self.non_idempotent: set[bytes] = set()
        self.wrong_service_requests = 0
        self.shed = 0
        self.cancelled = 0
        self.past_deadline = 0
        self._service = service
        self._clock = clock
        self._warm_up_end_ms = clock.now_ms() + behaviour.cold_start_duration_ms
        self._running: dict[tuple[IOStream, int], asyncio.Task[None]] = {}
        self._streams: set[IOStream] = set()

    @property
    def busy_slots(self) -> int:
        """Return the number of requests that are running."""
        return len(self._running)

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Serve one connection of an entry host."""
        self._streams.add(stream)
        try:
            while True:
                length_bytes = decode_length(await stream.read_bytes(LENGTH_BYTES))
                self._on_frame(stream, decode_content(await stream.read_bytes(length_bytes)))
        except (StreamClosedError, DecodeError):
            stream.close()
        finally:
            self._streams.discard(stream)

    def close(self) -> None:
        """Close the listening socket and every connection, and cancel running requests."""
        self.stop()
        for task in list(self._running.values()):
            task.cancel()
        for stream in list(self._streams):
            stream.close()

    def _on_frame(self, stream: IOStream, frame: BackendFrame) -> None:
        if isinstance(frame, CancelFrame):
            self._cancel(stream, frame.attempt_id)
        elif isinstance(frame, DispatchFrame):
            self._on_dispatch(stream, frame)

    def _on_dispatch(self, stream: IOStream, frame: DispatchFrame) -> None:
        if self.behaviour.reset:
            stream.close()
        elif frame.service != self._service:
            self.wrong_service_requests += 1
            _write_frame(stream, RefuseFrame(frame.attempt_id, "another service"))
        elif self.behaviour.refuse or len(self.runs) >= MAX_COUNTED_REQUESTS:
            _write_frame(stream, RefuseFrame(frame.attempt_id, "refused"))
        elif self.busy_slots >= self.behaviour.slots:
            self.shed += 1
            _write_frame(stream, ShedFrame(frame.attempt_id))
        else:
            self._start_run(stream, frame)

    def _start_run(self, stream: IOStream, frame: DispatchFrame) -> None:
        self.runs[frame.request_id] += 1
        if not frame.idempotent:
            self.non_idempotent.add(frame.request_id)
        key = (stream, frame.attempt_id)
        task = asyncio.ensure_future(self._run(stream, frame))
        self._running[key] = task
        task.add_done_callback(lambda _: self._running.pop(key, None))

    def _cancel(self, stream: IOStream, attempt_id: int) -> None:
        task = self._running.get((stream, attempt_id))
        if task is not None:
            self.cancelled += 1
            task.cancel()

    async def _run(self, stream: IOStream, frame: DispatchFrame) -> None:
        work = decode_work(frame.body)
        try:
            async with asyncio.timeout(frame.remaining_ms / MS_PER_S):
                await self._perform(work)
        except TimeoutError:
            self.past_deadline += 1
            return
        self.finished[frame.request_id] += 1
        for answer in self._build_answers(frame, work):
            _write_frame(stream, answer)

    async def _perform(self, work: Work) -> None:
        if self.behaviour.hang:
            await asyncio.Event().wait()
        is_cold = self._clock.now_ms() < self._warm_up_end_ms
        extra_ms = self.behaviour.cold_start_extra_ms if is_cold else 0
        await asyncio.sleep((work.service_ms + extra_ms) / MS_PER_S)

    def _build_answers(self, frame: DispatchFrame, work: Work) -> list[AnswerFrame]:
        answers = [
            AnswerFrame(
                frame.attempt_id,
                part,
                work.parts,
                answer_part(request_id=frame.request_id, part=part, part_bytes=work.part_bytes),
            )
            for part in range(work.parts)
        ]
        return answers[::-1] if self.behaviour.reverse_parts else answers


def _write_frame(stream: IOStream, frame: BackendFrame) -> None:
    try:
        stream.write(encode_frame(frame))
    except StreamClosedError:
        # The entry host has closed the connection, so the frame is dropped.
        stream.close()
