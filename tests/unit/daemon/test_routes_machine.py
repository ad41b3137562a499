"""Guards against mixed or withdrawn routes while readers change and datagrams are lost."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from redwingswitch._internal.decisions.list_sharing import datagram_parts
from redwingswitch._internal.models.cookie_flows import RouteAddress, RouteTable
from redwingswitch._internal.models.list_readers import ListReader, Neighbour, RegisteredReader
from redwingswitch._internal.models.list_sharing import RoutesPart, RoutesRequest
from redwingswitch._internal.network.list_messages import ListMessage
from tests.lib.cookie_flows import route_table
from tests.lib.routes_host import RoutesHost

HOST_COUNT = 3
NUMBERS = st.integers(0, HOST_COUNT - 1)
CONTENTS = st.dictionaries(st.integers(1, 5), st.integers(1, 3), max_size=5)
# Small parts, so that most differences take several.
MAX_PART_BYTES = 40
ROUTE = next(iter(route_table().routes.values()))


class RoutesMachine(RuleBasedStateMachine):
    """Drives the hosts of one failure domain; each message waits until a rule delivers it."""

    @initialize()
    def start(self) -> None:
        self.part_bytes = datagram_parts.MAX_PART_BYTES
        datagram_parts.MAX_PART_BYTES = MAX_PART_BYTES
        self.network: list = []
        self.incarnations = iter(range(1, 10_000))
        self.tables: list[RouteTable] = []
        # The store's revision, which falls when the store is restored from a copy.
        self.revision = 0
        self.record = RegisteredReader()
        self.versions: dict[int, int] = {}
        self.hosts = [self.new_host(number) for number in range(HOST_COUNT)]
        self.change_routes({1: 1}, is_watched=False)

    def new_host(self, number: int) -> RoutesHost:
        incarnation = next(self.incarnations)
        local = ListReader(f"entry-{number}", f"10.0.0.{number + 1}", 7720, incarnation)
        at = Neighbour(local.address, local.port)

        def send(message: ListMessage, receiver: Neighbour) -> None:
            self.network.append((message, incarnation, at, receiver))

        return RoutesHost(local=local, send=send)

    @rule(content=CONTENTS, is_watched=st.booleans())
    def change_routes(self, content: dict[int, int], is_watched: bool) -> None:
        """Change the routes; if ``is_watched``, the recorded reader reads them at once."""
        routes = [
            ROUTE._replace(destination=RouteAddress(1, port), timeout_ms=timeout_ms)
            for port, timeout_ms in content.items()
        ]
        version = len(self.tables) + 1
        table = {route.destination: route for route in routes}
        self.tables.append(RouteTable(version, table, idle_limit_ms=version))
        self.revision += 1
        for number, host in enumerate(self.hosts):
            if is_watched and host.local == self.record.reader:
                self.read_the_store(number)

    @rule(number=NUMBERS)
    def read_the_store(self, number: int) -> None:
        self.hosts[number].put_in_force(self.tables[-1], self.revision)

    @rule()
    def restore_the_store(self) -> None:
        """Restore the store from a copy from before all routes; the operators write them again."""
        self.revision = 1

    @rule(number=NUMBERS, is_known=st.booleans())
    def claim(self, number: int, is_known: bool) -> None:
        """Make a host the reader; if ``is_known``, all hosts learn of it at once."""
        self.record = RegisteredReader(self.hosts[number].local, self.record.revision + 1)
        for other in range(HOST_COUNT):
            if is_known or other == number:
                self.learn_the_reader(other)

    @rule(number=NUMBERS)
    def learn_the_reader(self, number: int) -> None:
        self.hosts[number].sharing.on_reader_registered(self.record, 0)

    @rule(number=NUMBERS, is_answered=st.booleans())
    def request(self, number: int, is_answered: bool) -> None:
        """Send a request to the reader; if ``is_answered``, only the answer is on its way then."""
        before = len(self.network)
        self.hosts[number].exchange.request_routes()
        if is_answered and len(self.network) > before:
            self.receive(self.network.pop())

    @rule(contents=st.lists(CONTENTS, min_size=1, max_size=3))
    def storm(self, contents: list[dict[int, int]]) -> None:
        """Change the routes in quick succession; each host asks for each change."""
        for content in contents:
            self.change_routes(content, is_watched=True)
            for number in range(HOST_COUNT):
                self.request(number, is_answered=True)

    @rule(number=NUMBERS)
    def crash(self, number: int) -> None:
        self.hosts[number] = self.new_host(number)

    @precondition(lambda self: self.network)
    @rule(data=st.data(), is_copied=st.booleans())
    def deliver_one(self, data: st.DataObject, is_copied: bool) -> None:
        """Deliver any message that is on its way, perhaps once more later."""
        position = data.draw(st.integers(0, len(self.network) - 1))
        self.receive(self.network[position] if is_copied else self.network.pop(position))

    @rule()
    def deliver_all(self) -> None:
        while self.network:
            self.receive(self.network.pop(0))

    def receive(self, sent: tuple) -> None:
        message, incarnation, sender, receiver = sent
        assert isinstance(message, RoutesRequest | RoutesPart)
        host = next(each for each in self.hosts if each.at == receiver)
        host.exchange.on_message(message, incarnation=incarnation, sender=sender)

    @precondition(lambda self: self.network)
    @rule(data=st.data())
    def lose(self, data: st.DataObject) -> None:
        self.network.pop(data.draw(st.integers(0, len(self.network) - 1)))

    @invariant()
    def routes_in_force_are_those_of_one_version(self) -> None:
        for host in self.hosts:
            if host.in_force is not None:
                assert host.in_force == self.tables[host.in_force.version - 1]

    @invariant()
    def versions_never_fall(self) -> None:
        for host in self.hosts:
            version = 0 if host.in_force is None else host.in_force.version
            assert version >= self.versions.get(host.local.incarnation, 0)
            self.versions[host.local.incarnation] = version

    def teardown(self) -> None:
        """Check that, once all faults end, one exchange brings the newest routes to each host."""
        if not hasattr(self, "hosts"):
            return
        try:
            self.network.clear()
            self.read_the_store(0)
            self.claim(0, is_known=True)
            for number in range(1, HOST_COUNT):
                self.request(number, is_answered=True)
            self.deliver_all()
            assert all(host.in_force == self.tables[-1] for host in self.hosts)
        finally:
            datagram_parts.MAX_PART_BYTES = self.part_bytes


TestRoutes = RoutesMachine.TestCase
TestRoutes.settings = settings(max_examples=200, stateful_step_count=40, deadline=None)
