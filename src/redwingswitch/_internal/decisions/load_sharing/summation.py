"""Addition of the observations of several hosts, or of several failure domains."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Container, Mapping
from typing import NamedTuple

from redwingswitch._internal.decisions.load_sharing.server_sums import (
    age_cs,
    by_significance,
    is_unusual,
)
from redwingswitch._internal.models.cookie_flows import RouteAddress
from redwingswitch._internal.models.load_sharing import (
    MAX_AGE_CS,
    MAX_ROUTES_PER_MESSAGE,
    MAX_SERVERS_PER_MESSAGE,
    MAX_SERVICES_PER_MESSAGE,
    MAX_UNCONFIRMED_HOSTS,
    MS_PER_CS,
    LoadSums,
    RouteSums,
    ServerSums,
    ServiceBusy,
)

# At 10 answers a second in a failure domain, a host reports one within this time in 9 of 10 cases:
# each report names the answers of the last 0.3 of 0.5 s.
MIN_SILENCE_MS = 400
MAX_RECOVERED_SERVERS = 8
# Most of a summary would otherwise consist of servers that differ by chance.
MIN_BUSY_TO_MEAN = 2.0


class ReceivedSums(NamedTuple):
    """Observations of ``host_count`` hosts, and when they arrived at this host.

    ``answered`` are the servers that have just answered a single host, and ``sent_ms`` is the time
    of its report on its own clock.
    """

    sums: LoadSums
    arrived_ms: int
    host_count: int = 1
    answered: tuple[int, ...] = ()
    sent_ms: int = 0


class _Silence(NamedTuple):
    """When unanswered opening packets were sent, and by how many hosts."""

    sent_ms: int
    silent_hosts: int
    unconfirmed_hosts: int

    @property
    def hosts(self) -> int:
        """Return the number of all these hosts."""
        return self.silent_hosts + self.unconfirmed_hosts


class _ServerTotal:
    __slots__ = (
        "answered_ms",
        "answers_tenths",
        "busy_flows",
        "overdue_requests",
        "relative_time_tenths",
        "silences",
    )

    def __init__(self) -> None:
        self.busy_flows = 0
        self.answers_tenths = 0
        self.relative_time_tenths = 0
        self.overdue_requests = 0
        self.silences: list[_Silence] = []
        self.answered_ms: int | None = None

    def add(self, entry: ServerSums, arrived_ms: int) -> None:
        """Add what one host or failure domain observed."""
        self.busy_flows += entry.busy_flows
        self.answers_tenths += entry.answers_tenths
        self.relative_time_tenths += entry.relative_time_tenths
        self.overdue_requests += entry.overdue_requests
        if entry.unanswered_hosts and entry.silent_age_cs < MAX_AGE_CS:
            sent_ms = arrived_ms - MS_PER_CS * entry.silent_age_cs
            self.silences.append(_Silence(sent_ms, entry.silent_hosts, entry.unconfirmed_hosts))
        if entry.answer_age_cs < MAX_AGE_CS:
            answered_ms = arrived_ms - MS_PER_CS * entry.answer_age_cs
            if self.answered_ms is None or answered_ms > self.answered_ms:
                self.answered_ms = answered_ms

    @property
    def is_unconfirmed(self) -> bool:
        """Return whether any host has an unconfirmed unanswered opening."""
        return any(each.unconfirmed_hosts for each in self.silences)

    def build(self, server: int, now_ms: int, reported_ms: int | None) -> ServerSums:
        """Return the sums; hosts whose opening packet is older than an answer are not silent.

        A server that refuses flows because its queue is full leaves packets unanswered too, but it
        answers other hosts, which report that up to half a second later than a silence. Hosts count
        as silent only when none has reported an answer for ``MIN_SILENCE_MS``; the latest report of
        one came at ``reported_ms``.
        """
        answered_ms = self.answered_ms
        if reported_ms is not None and reported_ms > (answered_ms or 0):
            answered_ms = reported_ms
        is_answering = answered_ms is not None and now_ms - answered_ms < MIN_SILENCE_MS
        silences = [
            each
            for each in sorted(self.silences, reverse=True)
            if answered_ms is None or each.sent_ms > answered_ms
        ]
        unconfirmed_hosts = 0 if is_answering else sum(each.unconfirmed_hosts for each in silences)
        return ServerSums(
            server=server,
            busy_flows=self.busy_flows,
            answers_tenths=self.answers_tenths,
            relative_time_tenths=self.relative_time_tenths,
            overdue_requests=self.overdue_requests,
            silent_hosts=0 if is_answering else sum(each.silent_hosts for each in silences),
            silent_age_cs=age_cs(_second_sent_ms(silences), now_ms),
            answer_age_cs=age_cs(answered_ms, now_ms),
            unconfirmed_hosts=min(MAX_UNCONFIRMED_HOSTS, unconfirmed_hosts),
        )


class Summation:
    """Adds up observations; the sums can be built in between."""

    def __init__(self) -> None:
        self._servers: dict[int, _ServerTotal] = {}
        self._answered_ms: dict[int, int] = {}
        self._routes: dict[RouteAddress, RouteSums] = {}
        self._services: Counter[tuple[int, int]] = Counter()
        self._moved_flows = 0

    def add(self, received: Collection[ReceivedSums]) -> None:
        """Add observations."""
        for each in received:
            self._moved_flows += each.sums.moved_flows
            for route in each.sums.routes:
                destination = RouteAddress(route.address, route.port)
                known = self._routes.get(destination)
                self._routes[destination] = route if known is None else _add_route(known, route)
            for service in each.sums.services:
                key = (service.service, service.failure_domain)
                self._services[key] += service.busy_flows
            for entry in each.sums.servers:
                total = self._servers.get(entry.server)
                if total is None:
                    total = self._servers[entry.server] = _ServerTotal()
                total.add(entry, each.arrived_ms)
            for server in each.answered:
                if each.arrived_ms > self._answered_ms.get(server, 0):
                    self._answered_ms[server] = each.arrived_ms

    def unconfirmed_ratio(self) -> float:
        """Return the part of the servers that any host has unconfirmed unanswered openings of.

        The others are those that the hosts report or that have just answered.
        """
        servers = len(self._servers.keys() | self._answered_ms.keys())
        unconfirmed = sum(total.is_unconfirmed for total in self._servers.values())
        return unconfirmed / servers if servers else 0.0

    def build(self, *, watched: Container[int], now_ms: int) -> LoadSums:
        """Return the sums.

        They name the servers out of the ordinary first, then the ``watched`` ones, then the much
        busier ones.
        """
        entries = [
            total.build(server, now_ms, self._answered_ms.get(server))
            for server, total in self._servers.items()
        ]
        return LoadSums(
            servers=_name_servers(entries, watched),
            routes=_name_routes(self._routes),
            services=_name_services(self._services),
            moved_flows=self._moved_flows,
        )


def _name_servers(entries: list[ServerSums], watched: Container[int]) -> tuple[ServerSums, ...]:
    unusual: list[ServerSums] = []
    recovered: list[ServerSums] = []
    others: list[ServerSums] = []
    for entry in sorted(entries, key=by_significance):
        if is_unusual(entry):
            unusual.append(entry)
        elif entry.server in watched:
            recovered.append(entry)
        elif entry.busy_flows:
            others.append(entry)
    # Hosts avoid a server until they are told that it answers again. Some places are therefore for
    # those that have recovered, also while many others are out of the ordinary.
    kept = MAX_SERVERS_PER_MESSAGE - min(MAX_RECOVERED_SERVERS, len(recovered))
    ordered = [*unusual[:kept], *recovered, *unusual[kept:], *_much_busier(others)]
    return tuple(ordered[:MAX_SERVERS_PER_MESSAGE])


def _much_busier(entries: list[ServerSums]) -> list[ServerSums]:
    """Return the servers that are busier than most; the sums of services tell the mean."""
    if not entries:
        return []
    mean = sum(entry.busy_flows for entry in entries) / len(entries)
    return [entry for entry in entries if entry.busy_flows >= MIN_BUSY_TO_MEAN * mean]


def _name_routes(routes: Mapping[RouteAddress, RouteSums]) -> tuple[RouteSums, ...]:
    named = sorted(routes.values(), key=lambda route: -route.requests_tenths)
    return tuple(named[:MAX_ROUTES_PER_MESSAGE])


def _add_route(left: RouteSums, right: RouteSums) -> RouteSums:
    """Return the sums, with the mean of the work by the number of answers."""
    answers_tenths = left.answers_tenths + right.answers_tenths
    work_tenths = max(left.work_tenths, right.work_tenths)
    if answers_tenths:
        weighted = left.work_tenths * left.answers_tenths + right.work_tenths * right.answers_tenths
        work_tenths = round(weighted / answers_tenths)
    return RouteSums(
        address=left.address,
        port=left.port,
        requests_tenths=left.requests_tenths + right.requests_tenths,
        answers_tenths=answers_tenths,
        service_time_ms=left.service_time_ms + right.service_time_ms,
        work_tenths=work_tenths,
    )


def _name_services(services: Counter[tuple[int, int]]) -> tuple[ServiceBusy, ...]:
    named = services.most_common(MAX_SERVICES_PER_MESSAGE)
    return tuple(ServiceBusy(service, domain, busy) for (service, domain), busy in named)


def _second_sent_ms(silences: list[_Silence]) -> int | None:
    """Return when the second latest host sent its packet, or the only one; None without any.

    The two latest ones show whether two hosts have had no answer since.
    """
    if not silences:
        return None
    is_latest = silences[0].hosts > 1 or len(silences) == 1
    return silences[0 if is_latest else 1].sent_ms
