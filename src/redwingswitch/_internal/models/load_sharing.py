"""Models of the load that the hosts of a deployment know together."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from redwingswitch._internal.models.cookie_flows import RouteAddress

# The age of an event that is not known to be more recent; 2.5 s exceed the life of a report.
MAX_AGE_CS = 250
MS_PER_CS = 10
# Decayed counts halve in this time.
HALF_LIFE_MS = 2_000
MAX_SERVERS_PER_MESSAGE = 24
# A number up to this takes at most 2 bytes in a message.
MAX_UNCONFIRMED_HOSTS = 255
MAX_ANSWERED_PER_MESSAGE = 64
MAX_ROUTES_PER_MESSAGE = 32
MAX_SERVICES_PER_MESSAGE = 32


class RouteDemand(NamedTuple):
    """The demand of one route at one service, summed over the known hosts.

    ``work_ms`` is the usual time that a server works on one of its requests.
    """

    destination: RouteAddress
    requests_per_s: float
    work_ms: float


class ServiceDemand(NamedTuple):
    """The demand of a service, summed over the hosts of ``known_domains`` failure domains.

    ``host_count`` is the number of these hosts.
    ``busy_flows`` counts the flows with a request in progress. ``all_domains`` is the number of
    failure domains of the deployment. The sums are not to be used from ``deadline_ms`` on.
    """

    routes: tuple[RouteDemand, ...]
    busy_flows: int
    known_domains: int
    all_domains: int
    deadline_ms: int
    host_count: int = 1


class HostRank(NamedTuple):
    """The position of this host among the ``host_count`` hosts of its failure domain.

    Ranks count from 0. The rank is not to be used from ``deadline_ms`` on.
    """

    rank: int
    host_count: int
    deadline_ms: int


class DemandSource(Protocol):
    """Provides the demand of services as far as the hosts know it together."""

    def service_demand(self, service: str, now_ms: int) -> ServiceDemand | None:
        """Return the demand of a service, or None without fresh sums."""


class ServerSums(NamedTuple):
    """What one or more hosts have observed of a server; ``server`` is the 32-bit id of its name.

    ``answers_tenths`` and ``relative_time_tenths`` are decayed sums in tenths: of answered
    requests, and of their service times relative to the usual one of their routes.
    ``silent_hosts`` counts the hosts with an opening packet that stayed unanswered and was sent
    after the last answer. ``unconfirmed_hosts`` counts further hosts with such a packet whose
    answer may have been acknowledged through another host; earlier versions do not report it.
    It is at most ``MAX_UNCONFIRMED_HOSTS``.
    ``silent_age_cs`` is the age of the second latest of all these packets, or of the only one, and
    ``answer_age_cs`` that of the last answer, in hundredths of a second up to ``MAX_AGE_CS``, which
    also stands for never.
    """

    server: int
    busy_flows: int
    answers_tenths: int
    relative_time_tenths: int
    overdue_requests: int
    silent_hosts: int
    silent_age_cs: int
    answer_age_cs: int
    unconfirmed_hosts: int = 0

    @property
    def unanswered_hosts(self) -> int:
        """Return the number of hosts with an unanswered opening packet, confirmed or not."""
        return self.silent_hosts + self.unconfirmed_hosts


class RouteSums(NamedTuple):
    """What one or more hosts have observed of the route to an address and port.

    New requests, answers (both in tenths) and their service times are decayed sums. ``work_tenths``
    is the usual time that a server works on a request, in tenths of a millisecond.
    """

    address: int
    port: int
    requests_tenths: int
    answers_tenths: int
    service_time_ms: int
    work_tenths: int


class ServiceBusy(NamedTuple):
    """The busy flows at the servers of a service in a failure domain, both named by 32-bit ids."""

    service: int
    failure_domain: int
    busy_flows: int


class LoadSums(NamedTuple):
    """The observations of one or more hosts.

    ``moved_flows`` counts the flows that were opened through one host and got an answer through
    another one since the report before, as after a change of the routers' rotation.
    """

    servers: tuple[ServerSums, ...]
    routes: tuple[RouteSums, ...]
    services: tuple[ServiceBusy, ...]
    moved_flows: int = 0


class LoadReport(NamedTuple):
    """The observations of the sender, which sent it at ``sent_ms`` on its own clock.

    ``number`` rises with each report of one incarnation. ``answered`` are the 32-bit ids of the
    servers that have answered a moment before.
    """

    number: int
    sent_ms: int
    answered: tuple[int, ...]
    sums: LoadSums


class LoadSummary(NamedTuple):
    """The sums over all known hosts, as the answer to a report that was sent at ``report_sent_ms``.

    ``rank`` is the position of the receiver among the ``host_count`` hosts of its failure domain.
    ``total_hosts`` and ``known_domains`` count the hosts and failure domains in the sums.
    """

    report_sent_ms: int
    rank: int
    host_count: int
    total_hosts: int
    known_domains: int
    sums: LoadSums


class DomainLoad(NamedTuple):
    """The sums over the ``host_count`` hosts of a failure domain, for readers of other ones.

    ``number`` rises with each message of one incarnation.
    """

    failure_domain: str
    number: int
    host_count: int
    sums: LoadSums
