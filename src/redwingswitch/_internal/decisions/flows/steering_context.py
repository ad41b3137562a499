"""State shared by the parts of flow steering."""

from __future__ import annotations

from collections import Counter
from ipaddress import ip_address
from typing import NamedTuple

from redwingswitch._internal.decisions.flows.bucket_owners import BucketOwners
from redwingswitch._internal.decisions.flows.flow_records import RecordQuota
from redwingswitch._internal.decisions.flows.steered_service import SteeredService
from redwingswitch._internal.models.configuration import Configuration

RECORD_BOUND = 400_000


class BrokenFlowCount(NamedTuple):
    """The number of events in a service that may have broken flows.

    ``indication`` is the kind of the events.
    """

    service: str
    indication: str
    events: int


class SteeringStatistics(NamedTuple):
    """Counters since the start of the process, and gauges of the current state.

    The gauges are ``services``, ``records``, ``displaced_buckets`` (see ``ServiceTables``) and
    ``held_packets``. ``decided_packets`` counts the decisions on packets of displaced flows; a
    packet that was held is counted again at its release. ``default_choices`` counts packets
    without a record for which the server of the oldest table was used. ``tables_dropped_early``
    counts tables that were dropped while flows may have needed them.
    """

    services: int = 0
    records: int = 0
    displaced_buckets: int = 0
    held_packets: int = 0
    decided_packets: int = 0
    forwarded_packets: int = 0
    wrong_service_packets: int = 0
    default_choices: int = 0
    record_bound_hits: int = 0
    hold_limit_hits: int = 0
    record_queries: int = 0
    records_sent: int = 0
    records_received: int = 0
    records_given_up: int = 0
    retransmissions: int = 0
    unknown_servers: int = 0
    tables_dropped: int = 0
    tables_dropped_early: int = 0
    broken_flows: tuple[BrokenFlowCount, ...] = ()


class SteeringCounters:
    """Counters of steering events."""

    def __init__(self) -> None:
        self.decided_packets = 0
        self.forwarded_packets = 0
        self.wrong_service_packets = 0
        self.default_choices = 0
        self.record_bound_hits = 0
        self.hold_limit_hits = 0
        self.record_queries = 0
        self.records_received = 0
        self.unknown_servers = 0
        self.tables_dropped = 0
        self.tables_dropped_early = 0


class SteeringContext:
    """The local host, its services and the owners of buckets."""

    def __init__(self, *, host: str, failure_domain: str) -> None:
        self.host = host
        self.owners = BucketOwners(host=host, failure_domain=failure_domain)
        self.quota = RecordQuota(bound=RECORD_BOUND)
        self.services_by_name: dict[str, SteeredService] = {}
        self.services_by_wire_id: dict[int, SteeredService] = {}
        self.services_by_address: dict[tuple[bytes, int], SteeredService] = {}
        self.counters = SteeringCounters()
        # Events by service name and indication, for the report.
        self.broken_flows: Counter[tuple[str, str]] = Counter()

    def count_unknown_server(self, service: SteeredService) -> None:
        """Count a record whose backend server is unknown to the local host."""
        self.counters.unknown_servers += 1
        self.broken_flows[service.service.name, "unknown_servers"] += 1

    def count_early_drop(self, service: SteeredService) -> None:
        """Count a table that was dropped while flows may have needed it."""
        self.counters.tables_dropped_early += 1
        self.broken_flows[service.service.name, "tables_dropped_early"] += 1

    def index_services(self, configuration: Configuration) -> None:
        """Rebuild the lookup by address, and mark the servers that moved to another service."""
        self.services_by_address = {
            (ip_address(steered.service.address).packed, steered.service.port): steered
            for steered in self.services_by_name.values()
        }
        service_by_server: dict[str, str] = {}
        service_by_endpoint: dict[tuple[str, int], str] = {}
        for service in configuration.services:
            for server in service.backend_servers:
                service_by_server[server.name] = service.name
                service_by_endpoint[server.address, server.tunnel_port] = service.name
        for steered in self.services_by_name.values():
            steered.update_reassigned(service_by_server, service_by_endpoint)

    def ranked_hosts(self, service: SteeredService, flow_hash: int) -> tuple[str, ...]:
        """Return the ranked hosts for a flow, owner first, including suspected ones."""
        return self.owners.ranking.rank(
            service.wire_id, flow_hash, service.preferred_domain(flow_hash)
        )

    def usable_hosts(self, service: SteeredService, flow_hash: int) -> tuple[str, ...]:
        """Return the ranked hosts for a flow, owner first, excluding suspected ones."""
        ranked = self.ranked_hosts(service, flow_hash)
        suspected = self.owners.suspected
        if not suspected:
            return ranked
        return tuple(host for host in ranked if host not in suspected)

    def concurrent_owners(
        self, service: SteeredService, flow_hash: int, now_ms: int
    ) -> tuple[str, ...]:
        """Return the other hosts that may have chosen a server for a flow.

        These are the former owner and replica and, if the local host is not the owner, the current
        owner and replica.
        """
        preferred_domain = service.preferred_domain(flow_hash)
        hosts = self.owners.former_holders(service.wire_id, flow_hash, preferred_domain, now_ms)
        usable = self.usable_hosts(service, flow_hash)
        if usable[:1] != (self.host,):
            hosts = (*hosts, *usable[:2])
        elif not hosts:
            return ()
        return tuple(host for host in dict.fromkeys(hosts) if host != self.host)
