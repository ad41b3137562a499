"""Routing of requests: which entry hosts collect, dispatch or cancel a request."""

from __future__ import annotations

from redwingswitch._internal.decisions.hashing import rendezvous_rank
from redwingswitch._internal.decisions.requests.target_selection import (
    DOMAIN_MARGIN_MS,
    DomainChooser,
    DomainLoad,
)
from redwingswitch._internal.models.configuration import Configuration, ServerState, Service
from redwingswitch._internal.models.identifiers import wire_id
from redwingswitch._internal.models.members import MembershipView, MemberView
from redwingswitch._internal.ports import RandomSource


class RequestRouting:
    """Maps requests to entry hosts based on the configuration and the membership view."""

    def __init__(self, *, host: str, failure_domain: str, random_source: RandomSource) -> None:
        self._host = host
        self._failure_domain = failure_domain
        self._random_source = random_source
        self._services: dict[str, Service] = {}
        self._link_costs_ms: dict[str, int] = {}
        self._members: tuple[MemberView, ...] = ()
        self._choosers: dict[str, DomainChooser] = {}
        self._dispatchers: dict[tuple[str, str], str | None] = {}
        self._loads: dict[str, dict[str, DomainLoad]] = {}
        self._leaving = False

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply the services and link costs of a revision."""
        self._services = {s.name: s for s in configuration.services}
        self._link_costs_ms = {d.name: d.link_cost_ms for d in configuration.failure_domains}
        self._choosers = {n: c for n, c in self._choosers.items() if n in self._services}
        self._dispatchers.clear()
        self._loads.clear()

    def set_members(self, view: MembershipView) -> None:
        """Update the live hosts and the waits that they advertise in heartbeats."""
        before = [(m.host, m.failure_domain) for m in self._members]
        self._members = view.serving()
        self._loads.clear()
        if before != [(m.host, m.failure_domain) for m in self._members]:
            self._dispatchers.clear()

    def leave(self) -> None:
        """Exclude the local host from all choices from now on, because it stops."""
        self._leaving = True
        self._dispatchers.clear()
        self._loads.clear()

    def service(self, name: str) -> Service | None:
        """Return a service that takes requests."""
        service = self._services.get(name)
        return service if service is not None and service.takes_requests else None

    def services(self) -> tuple[Service, ...]:
        """Return the services that take requests."""
        return tuple(s for s in self._services.values() if s.takes_requests)

    def is_serving(self, host: str) -> bool:
        """Return whether a host is alive or suspected."""
        return any(member.host == host for member in self._hosts())

    def collector(self, request_id: bytes) -> str | None:
        """Return the host that collects the parts of a request."""
        ranked = rendezvous_rank(request_id, [m.host for m in self._hosts()])
        return ranked[0] if ranked else None

    def dispatcher(self, service: str, domain: str) -> str | None:
        """Return the one host that dispatches a service in a failure domain."""
        key = (service, domain)
        if key not in self._dispatchers:
            self._dispatchers[key] = self._rank_dispatcher(service, domain)
        return self._dispatchers[key]

    def slots_by_domain(self, service: Service) -> dict[str, int]:
        """Return the number of slots of active backend servers in each failure domain."""
        slots: dict[str, int] = {}
        for server in service.backend_servers:
            if server.state is ServerState.ACTIVE:
                slots[server.failure_domain] = slots.get(server.failure_domain, 0) + server.slots
        return slots

    def choose_domain(self, service: Service, now_ms: int) -> str | None:
        """Return the failure domain for a new request of a service."""
        chooser = self._choosers.get(service.name)
        if chooser is None:
            chooser = DomainChooser(
                local_domain=self._failure_domain, random_source=self._random_source
            )
            self._choosers[service.name] = chooser
        return chooser.choose(self._domain_loads(service), now_ms)

    def offload_target(self, service: Service, domain: str, wait_ms: float) -> str | None:
        """Return the dispatcher of another failure domain that is clearly faster than ``domain``.

        Its advertised wait plus the link cost must be below ``wait_ms``, the wait in ``domain``, by
        more than ``DOMAIN_MARGIN_MS``.
        """
        loads = self._domain_loads(service)
        own = {d for d in loads if self.dispatcher(service.name, d) == self._host} | {domain}
        other = min(loads.keys() - own, key=lambda d: (loads[d].cost_ms, d), default=None)
        if other is None or loads[other].cost_ms + DOMAIN_MARGIN_MS >= wait_ms:
            return None
        return self.dispatcher(service.name, other)

    def dispatched_domains(self, service: Service) -> list[str]:
        """Return the failure domains in which the local host dispatches, its own one first."""
        own = [
            d
            for d in self.slots_by_domain(service)
            if self.dispatcher(service.name, d) == self._host
        ]
        return sorted(own, key=lambda domain: (domain != self._failure_domain, domain))

    def dispatchers(self, service: Service) -> list[str]:
        """Return all hosts that dispatch a service, any of which may know a given request."""
        names = (self.dispatcher(service.name, domain) for domain in self.slots_by_domain(service))
        return list(dict.fromkeys(name for name in names if name is not None))

    def _hosts(self) -> tuple[MemberView, ...]:
        if not self._leaving:
            return self._members
        return tuple(m for m in self._members if m.host != self._host)

    def _rank_dispatcher(self, service: str, domain: str) -> str | None:
        hosts = self._hosts()
        hosts_in_domain = [m.host for m in hosts if m.failure_domain == domain]
        names = hosts_in_domain or [m.host for m in hosts]
        ranked = rendezvous_rank(f"{service}\0{domain}".encode(), names)
        return ranked[0] if ranked else None

    def _domain_loads(self, service: Service) -> dict[str, DomainLoad]:
        if service.name not in self._loads:
            self._loads[service.name] = {
                domain: DomainLoad(
                    self._wait_ms(service, domain), self._link_cost_ms(domain), slots
                )
                for domain, slots in self.slots_by_domain(service).items()
            }
        return self._loads[service.name]

    def _wait_ms(self, service: Service, domain: str) -> int:
        host = self.dispatcher(service.name, domain)
        member = next((m for m in self._members if m.host == host), None)
        if member is None:
            return 0
        service_id = wire_id(service.name)
        waits = (w.wait_ms for w in member.digest.wait_estimates if w.service_id == service_id)
        return next(waits, 0)

    def _link_cost_ms(self, domain: str) -> int:
        if domain == self._failure_domain:
            return 0
        costs = (self._link_costs_ms.get(d, 0) for d in (domain, self._failure_domain))
        return max(costs)
