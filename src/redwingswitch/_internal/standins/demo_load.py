"""The load of the demo: streams, requests and spliced connections, for a bounded time."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Coroutine
from random import Random
from typing import Any

from redwingswitch._internal.standins.demo_fleet import JOB_BOARD, PHOTOS, SERVICES, DemoFleet
from redwingswitch._internal.standins.request_caller import CallResult, RequestCaller
from redwingswitch._internal.standins.work import Work

LONG_FLOW_COUNT = 300
LONG_FLOW_PACKETS = 30
LONG_FLOW_INTERVAL_S = 0.6
SHORT_FLOW_PACKETS = 4
SHORT_FLOW_INTERVAL_S = 0.1
SHORT_FLOW_PAUSE_S = 0.03
REQUEST_PAUSE_S = 0.03
JOB_BOARD_RATIO = 0.8
REQUEST_TIMEOUT_MS = 4_000
SPLICED_CONNECTION_COUNT = 10
SPLICED_CHUNK_COUNT = 10
SPLICED_CHUNK = b"progress " * 100
SPLICED_PAUSE_S = 0.4
MAX_TASKS = 5_000


class DemoLoad:
    """Generates load until ``stop``; ``finish`` waits for the load in progress."""

    def __init__(self, *, fleet: DemoFleet, caller: RequestCaller, random_source: Random) -> None:
        self.results: list[CallResult] = []
        # Number of spliced connections, by whether every byte was echoed.
        self.spliced: Counter[bool] = Counter()
        self._fleet = fleet
        self._caller = caller
        self._random = random_source
        self._tasks: set[asyncio.Task[Any]] = set()
        self._stopping = asyncio.Event()

    def start(self) -> None:
        """Open the long flows and start the short flows and the requests."""
        for number in range(LONG_FLOW_COUNT):
            service = SERVICES[number % len(SERVICES)]
            self._spawn(
                self._fleet.streams.run_flow(
                    destination=service.destination,
                    packets=LONG_FLOW_PACKETS,
                    interval_s=LONG_FLOW_INTERVAL_S,
                )
            )
        self._spawn(self._open_short_flows())
        self._spawn(self._send_requests())

    def start_spliced(self, *, host: str) -> None:
        """Open connections through the TCP listener of a host that is going to stop."""
        for _ in range(SPLICED_CONNECTION_COUNT):
            self._spawn(self._splice(host))

    def stop(self) -> None:
        """Stop starting new load."""
        self._stopping.set()

    async def finish(self) -> None:
        """Wait for the load in progress, all of which is bounded in time."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def _open_short_flows(self) -> None:
        while not self._stopping.is_set():
            service = SERVICES[self._random.randrange(len(SERVICES))]
            self._spawn(
                self._fleet.streams.run_flow(
                    destination=service.destination,
                    packets=SHORT_FLOW_PACKETS,
                    interval_s=SHORT_FLOW_INTERVAL_S,
                )
            )
            await asyncio.sleep(SHORT_FLOW_PAUSE_S)

    async def _send_requests(self) -> None:
        while not self._stopping.is_set():
            self._spawn(self._request())
            await asyncio.sleep(REQUEST_PAUSE_S)

    async def _request(self) -> None:
        service = JOB_BOARD if self._random.random() < JOB_BOARD_RATIO else PHOTOS
        work = Work(
            service_ms=10 + self._random.randrange(60),
            parts=1 + self._random.randrange(4),
            part_bytes=200 + self._random.randrange(2_000),
        )
        result = await self._caller.call(
            service=service.name,
            work=work,
            idempotent=service.idempotent,
            timeout_ms=REQUEST_TIMEOUT_MS,
            body_parts=1 + self._random.randrange(2),
        )
        self.results.append(result)

    async def _splice(self, host: str) -> None:
        address = self._fleet.daemons[host].parameters.address
        port = self._fleet.listen_ports[PHOTOS.name]
        received = b""
        try:
            reader, writer = await asyncio.open_connection(address, port)
            for _ in range(SPLICED_CHUNK_COUNT):
                writer.write(SPLICED_CHUNK)
                await asyncio.sleep(SPLICED_PAUSE_S)
            writer.write_eof()
            received = await reader.read()
            writer.close()
        except OSError:
            self.spliced[False] += 1
            return
        # The server sends its name as the first line.
        self.spliced[received.endswith(b"\n" + SPLICED_CHUNK * SPLICED_CHUNK_COUNT)] += 1

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        if len(self._tasks) >= MAX_TASKS:
            work.close()
            return
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
