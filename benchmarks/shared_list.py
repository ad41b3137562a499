"""Calls to the store, and the time until hosts know of a leaving server, where they share the list.

The synchronizers of all hosts run on one loop with a virtual clock, against a store in memory.
Run with ``python -m benchmarks.run_all shared_list``.
"""

from __future__ import annotations

import asyncio
import random
import selectors
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, NamedTuple, TypeVar

from benchmarks.cookie_flows import listed_server
from benchmarks.tables import Table
from redwingswitch._internal.daemon.server_list_sync import ServerListSynchronizer
from redwingswitch._internal.daemon.steering_metrics import SteeringMetrics
from redwingswitch._internal.decisions.cookies.cookie_steering import CookieSteering
from redwingswitch._internal.decisions.list_sharing.age_budget import age_budget
from redwingswitch._internal.decisions.list_sharing.sharing import ListSharing
from redwingswitch._internal.exceptions import StoreUnavailableError
from redwingswitch._internal.models.configuration import ServerState
from redwingswitch._internal.models.cookie_flows import ListedServer, RouteTable
from redwingswitch._internal.models.list_readers import (
    NO_READER,
    DomainReader,
    ListReader,
    RegisteredReader,
)
from redwingswitch._internal.models.server_list import (
    ServerChange,
    ServerList,
    ServerListChanges,
    StoredRoutes,
)

T = TypeVar("T")

SEED = 52
DOMAINS = 3
SERVERS = 20
LEAVING = "i-0"
LIST_AGE_LIMIT_MS = 3_000
CALL_TIMEOUT_MS = 1_500
# One way to the store, and its work on a call; the path between hosts of a failure domain.
STORE_PATH_S, STORE_WORK_S = 0.005, 0.004
PEER_PATH_S = 0.001
STARTED_S = 10.0
OUTAGE_S = 4.5
JUST_AFTER_S = 3.0
CALM_S = 12.0
HELD_S = 1.4
ROUTES = RouteTable(version=1, routes={}, idle_limit_ms=15_000)


class _VirtualSelector(selectors.SelectSelector):
    """Advances the clock of a loop in place of waiting."""

    loop: VirtualLoop

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("nothing is left to wait for")
        self.loop.now_s += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop without I/O whose clock advances only when nothing else is left to do."""

    def __init__(self) -> None:
        self.now_s = 0.0
        selector = _VirtualSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        """Return seconds on the virtual clock."""
        return self.now_s

    def now_ms(self) -> int:
        """Return milliseconds on the virtual clock, which makes the loop a ``Clock``."""
        return int(self.now_s * 1_000)


class _Store:
    """The entries of servers, their history and the readers' records."""

    def __init__(self) -> None:
        self.revision = 1
        self.servers = {f"i-{number}": _server(number) for number in range(SERVERS)}
        self.history: list[tuple[int, str]] = []
        self.readers: dict[str, RegisteredReader] = {}
        self.is_down = False
        self.changed = asyncio.Event()
        # When each call reached the store.
        self.calls_s: list[float] = []

    def put(self, server: ListedServer) -> None:
        self.revision += 1
        self.servers[server.server_id] = server
        self.history.append((self.revision, server.server_id))
        self.wake()

    def drain(self, server_id: str) -> None:
        self.put(self.servers[server_id]._replace(state=ServerState.DRAINING))

    def set_down(self, is_down: bool) -> None:
        self.is_down = is_down
        self.wake()

    def wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def changes_after(self, revision: int) -> ServerListChanges:
        names = {name for at, name in self.history if at > revision}
        return ServerListChanges(
            routes=None, servers=tuple(map(self._change, sorted(names))), revision=self.revision
        )

    def has_changed_after(self, revision: int) -> bool:
        return bool(self.history) and self.history[-1][0] > revision

    def whole(self, domain: str) -> ServerList:
        return ServerList(
            routes=ROUTES,
            servers=tuple(map(self._change, self.servers)),
            revision=self.revision,
            reader=self.readers.get(domain, NO_READER),
            routes_revision=1,
        )

    def _change(self, name: str) -> ServerChange:
        return ServerChange(name, self.servers[name], is_listed=True)


class _StorePath:
    """A ``ServerListStore`` for one host; a cut holds requests and answers until it ends."""

    def __init__(self, *, store: _Store, domain: str) -> None:
        self._store = store
        self._domain = domain
        self.connected = asyncio.Event()
        self.connected.set()

    async def read_all(self, *, may_be_stale: bool = False) -> ServerList:
        return await self._call(lambda: self._store.whole(self._domain))

    async def read_changes(self, *, after_revision: int, wait_ms: int) -> ServerListChanges:
        if wait_ms:
            await self._call(lambda: None, answers=False)
            await self._wait_for_change(after_revision, wait_ms / 1_000)
            return await self._answer(lambda: self._store.changes_after(after_revision))
        return await self._call(lambda: self._store.changes_after(after_revision))

    async def read_server_changes(self, *, after_revision: int) -> ServerListChanges:
        return await self._call(lambda: self._store.changes_after(after_revision))

    async def read_routes(self, *, may_be_stale: bool = False) -> StoredRoutes:
        return await self._call(lambda: StoredRoutes(ROUTES, 1))

    async def read_reader(self) -> RegisteredReader:
        readers = self._store.readers
        return await self._call(lambda: readers.get(self._domain, NO_READER))

    async def read_other_readers(self) -> Sequence[DomainReader]:
        return await self._call(tuple)

    async def register_reader(self, reader: ListReader, *, expected: int) -> RegisteredReader:
        def register() -> RegisteredReader:
            known = self._store.readers.get(self._domain, NO_READER)
            if known.revision == expected:
                self._store.revision += 1
                known = RegisteredReader(reader, self._store.revision)
                self._store.readers[self._domain] = known
            return known

        return await self._call(register)

    async def probe(self, *, known_revision: int) -> int:
        return await self._call(lambda: self._store.revision)

    def close(self) -> None:
        """There is nothing to close."""

    async def _call(self, make: Callable[[], T], *, answers: bool = True) -> T:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_MS / 1_000):
                await self._pass()
                self._store.calls_s.append(asyncio.get_running_loop().time())
                await asyncio.sleep(STORE_WORK_S)
                return await self._answer(make) if answers else make()
        except TimeoutError as error:
            raise StoreUnavailableError("no response") from error

    async def _answer(self, make: Callable[[], T]) -> T:
        is_down, result = self._store.is_down, make()
        await self._pass()
        if is_down:
            raise StoreUnavailableError("503")
        return result

    async def _pass(self) -> None:
        await asyncio.sleep(STORE_PATH_S)
        await self.connected.wait()

    async def _wait_for_change(self, after_revision: int, wait_s: float) -> None:
        store = self._store
        try:
            async with asyncio.timeout(wait_s):
                while not store.has_changed_after(after_revision) and not store.is_down:
                    await store.changed.wait()
        except TimeoutError:
            return


class _Host:
    """A synchronizer and what it needs."""

    def __init__(self, *, fleet: _Fleet, number: int) -> None:
        self.domain = f"domain-{number % DOMAINS}"
        self.address = (f"10.{number % DOMAINS}.{number // 250}.{number % 250 + 1}", 7_720)
        self.path = _StorePath(store=fleet.store, domain=self.domain)
        self._fleet = fleet
        self.local = ListReader(f"entry-{number}", *self.address, number + 1)
        self.steering = CookieSteering(
            failure_domain=self.domain, random_source=random.Random(fleet.random.random())
        )
        self.sync = ServerListSynchronizer(
            store=self.path,
            steering=self.steering,
            sharing=ListSharing(
                local_reader=self.local,
                age_limit_ms=age_budget(LIST_AGE_LIMIT_MS).reader_age_ms,
                random_source=random.Random(fleet.random.random()),
            ),
            clock=fleet.loop,
            age_clock=fleet.loop,
            random_source=random.Random(fleet.random.random()),
            metrics=SteeringMetrics(),
            list_age_limit_ms=LIST_AGE_LIMIT_MS,
            on_change=lambda: None,
        )
        self.sync.peers.set_sender(self)

    def send(self, data: bytes, address: tuple[str, int]) -> bool:
        """Send a datagram to another host."""
        receiver = self._fleet.by_address.get(tuple(address))
        if receiver is not None:
            peers = receiver.sync.peers
            self._fleet.loop.call_later(PEER_PATH_S, peers.on_datagram, data, self.address)
        return True

    def knows_of_leaving(self) -> bool:
        known = self.steering.directory.get(LEAVING)
        return known is not None and known.server.state is ServerState.DRAINING


class _Fleet:
    """Hosts of ``DOMAINS`` failure domains and their store."""

    def __init__(self, *, loop: VirtualLoop, hosts: int, seed: int) -> None:
        self.loop = loop
        self.random = random.Random(seed)
        self.store = _Store()
        self.hosts = [_Host(fleet=self, number=number) for number in range(hosts)]
        self.by_address = {host.address: host for host in self.hosts}
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        for host in self.hosts:
            # All machines start within 0.3 s of each other.
            await asyncio.sleep(0.3 / len(self.hosts))
            self._tasks.add(asyncio.create_task(host.sync.run()))
        await self.until(STARTED_S)

    async def until(self, time_s: float) -> None:
        await asyncio.sleep(max(0.0, time_s - self.loop.time()))

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reader_of(self, domain: str) -> _Host:
        record = self.store.readers[domain].reader
        return next(host for host in self.hosts if host.local == record)

    def calls_per_s(self, begin_s: float, end_s: float) -> float:
        """Return the calls in a second that reached the store in a time span."""
        return sum(begin_s <= at_s < end_s for at_s in self.store.calls_s) / (end_s - begin_s)

    async def drain_and_measure(self, followers: Sequence[_Host]) -> Callable[[], int]:
        """Let a server leave; the result returns after how many ms the last follower knew."""
        self.store.drain(LEAVING)
        began_s = self.loop.time()
        known_s: dict[str, float] = {}

        async def watch() -> None:
            while len(known_s) < len(followers):
                for host in followers:
                    if host.local.host not in known_s and host.knows_of_leaving():
                        known_s[host.local.host] = self.loop.time()
                await asyncio.sleep(0.01)

        self._tasks.add(asyncio.create_task(watch()))

        def last_ms() -> int:
            if len(known_s) < len(followers):
                raise RuntimeError("a follower never learned of the leaving server")
            return round(1_000 * (max(known_s.values()) - began_s))

        return last_ms


class _Result(NamedTuple):
    before: float
    during: float
    after: float


Scenario = Callable[[_Fleet], Coroutine[Any, Any, T]]


def play(scenario: Scenario[T], *, hosts: int, seed: int = SEED) -> T:
    """Start a fleet on a virtual clock, run a scenario on it, and return its result."""
    loop = VirtualLoop()

    async def run() -> T:
        fleet = _Fleet(loop=loop, hosts=hosts, seed=seed)
        try:
            await fleet.start()
            return await scenario(fleet)
        finally:
            await fleet.stop()

    try:
        return loop.run_until_complete(run())
    finally:
        loop.close()


async def _outage(fleet: _Fleet) -> _Result:
    begin_s = fleet.loop.time()
    fleet.store.set_down(True)
    await fleet.until(begin_s + OUTAGE_S)
    fleet.store.set_down(False)
    end_s = fleet.loop.time()
    await fleet.until(end_s + JUST_AFTER_S)
    return _Result(
        before=fleet.calls_per_s(begin_s - JUST_AFTER_S, begin_s),
        during=fleet.calls_per_s(begin_s, end_s),
        after=fleet.calls_per_s(end_s, end_s + JUST_AFTER_S),
    )


def _changes_every(interval_s: float) -> Scenario[_Result]:
    async def scenario(fleet: _Fleet) -> _Result:
        begin_s = fleet.loop.time()
        for number in range(int(30 / interval_s)):
            fleet.store.put(_server(number % SERVERS, report_number=number + 1))
            await fleet.until(begin_s + (number + 1) * interval_s)
        rate = fleet.calls_per_s(begin_s, fleet.loop.time())
        return _Result(before=0.0, during=rate, after=0.0)

    return scenario


def _cut_reader(fleet: _Fleet) -> tuple[_Host, list[_Host]]:
    """Cut the reader of a failure domain from the store; return it and its followers."""
    reader = fleet.reader_of(fleet.hosts[0].domain)
    reader.path.connected.clear()
    return reader, [h for h in fleet.hosts if h.domain == reader.domain and h is not reader]


async def _leave_after_outage(fleet: _Fleet) -> int:
    """Return when followers know that a server leaves whose reader is cut off after an outage."""
    await _outage(fleet)
    await asyncio.sleep(CALM_S)
    _, followers = _cut_reader(fleet)
    await asyncio.sleep(0.05)
    last_ms = await fleet.drain_and_measure(followers)
    await asyncio.sleep(2 * LIST_AGE_LIMIT_MS / 1_000)
    return last_ms()


async def _leave_during_held_answer(fleet: _Fleet) -> int:
    """Return when followers know it if an answer to their reader was held up before."""
    # The answer to the reader's watch is held up by the cut.
    fleet.store.put(_server(1, report_number=1))
    await asyncio.sleep(STORE_WORK_S / 2)
    reader, followers = _cut_reader(fleet)
    await asyncio.sleep(0.05)
    last_ms = await fleet.drain_and_measure(followers)
    await asyncio.sleep(HELD_S)
    reader.path.connected.set()
    await asyncio.sleep(0.6)
    reader.path.connected.clear()
    await asyncio.sleep(2 * LIST_AGE_LIMIT_MS / 1_000)
    return last_ms()


def _server(number: int, *, report_number: int = 0) -> ListedServer:
    server = listed_server(
        f"i-{number}",
        service="job-board",
        failure_domain=f"domain-{number % DOMAINS}",
        port=8_000 + number,
    )
    return server._replace(report_number=report_number)


def _format(value: float) -> str:
    return f"{value:.1f}"


def run() -> list[Table]:
    """Return the tables of calls and of times."""
    command = "python -m benchmarks.run_all shared_list"
    outages = [(hosts, play(_outage, hosts=hosts)) for hosts in (30, 100, 300)]
    intervals_s = (0.2, 0.7, 1.5, 4.0)
    changes = [(s, play(_changes_every(s), hosts=30)) for s in intervals_s]
    cases = (
        ("the reader loses the store after an outage", _leave_after_outage),
        ("an answer to the reader was held up", _leave_during_held_answer),
    )
    times = [
        (name, sorted(play(case, hosts=12, seed=SEED + number) for number in range(20)))
        for name, case in cases
    ]
    return [
        Table(
            key="shared-list-outage",
            title="Calls to the store in an outage",
            command=command,
            seed=SEED,
            columns=("hosts", "calls/s before", f"in {OUTAGE_S} s", f"in {JUST_AFTER_S} s after"),
            rows=tuple((str(hosts), *map(_format, found)) for hosts, found in outages),
            conclusion=f"Calls that reach the store, from {DOMAINS} failure domains.",
        ),
        Table(
            key="shared-list-changes",
            title="Calls to the store while servers change",
            command=command,
            seed=SEED,
            columns=("seconds between changes", "calls/s"),
            rows=tuple((str(s), _format(found.during)) for s, found in changes),
            conclusion="30 hosts; the probes beside a watch are calls, too.",
        ),
        Table(
            key="shared-list-leaving",
            title="Time until followers know that a server leaves",
            command=command,
            seed=SEED,
            columns=("case", "median, ms", "longest"),
            rows=tuple(
                (name, str(found[len(found) // 2]), str(found[-1])) for name, found in times
            ),
            conclusion=f"20 runs each; the limit is {LIST_AGE_LIMIT_MS} ms.",
        ),
    ]
