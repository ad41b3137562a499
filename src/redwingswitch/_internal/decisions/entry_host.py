"""The decision components of one entry host, behind a single ``handle`` method."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

from redwingswitch._internal.decisions.configuration.convergence import ConfigurationConvergence
from redwingswitch._internal.decisions.flows.flow_steering import FlowSteering
from redwingswitch._internal.decisions.graceful_stop import GracefulStop
from redwingswitch._internal.decisions.health.backend_health import BackendHealth
from redwingswitch._internal.decisions.host_status import member_statuses, server_statuses
from redwingswitch._internal.decisions.members.membership import Membership
from redwingswitch._internal.decisions.requests.coordinator import RequestCoordinator
from redwingswitch._internal.models import events, messages
from redwingswitch._internal.models.actions import Action, Drop, DropReason, SendToPeer
from redwingswitch._internal.models.configuration import Configuration
from redwingswitch._internal.models.identifiers import wire_id
from redwingswitch._internal.models.members import HostDigest, MembershipView
from redwingswitch._internal.models.requests import FailureKind
from redwingswitch._internal.models.status import HostStatus
from redwingswitch._internal.ports import RandomSource

# A message that a component sends to its own host is handled at once. Each hop of a forwarded
# message produces at most one more message, so a longer chain is a bug in a component.
MAX_LOCAL_MESSAGES = 64
# The minimum interval between membership views that differ only in digests. In a large group nearly
# every heartbeat changes a digest, and each component processes a new view in time proportional to
# the number of members.
MIN_VIEW_INTERVAL_MS = 250

Handler = Callable[[Any, int], list[Action]]


class EntryHost:
    """All decisions of one entry host, without I/O.

    The caller passes each event to ``handle`` with the monotonic time in milliseconds, performs
    the returned actions in order, and passes ``TimerFired`` when ``next_deadline_ms`` is reached.
    """

    def __init__(
        self,
        *,
        host: str,
        failure_domain: str,
        incarnation: int,
        abstain_until_ms: int,
        random_source: RandomSource,
    ) -> None:
        self.host = host
        self.failure_domain = failure_domain
        self.membership = Membership(
            host=host,
            failure_domain=failure_domain,
            incarnation=incarnation,
            random_source=random_source,
        )
        self.health = BackendHealth(random_source=random_source)
        self.steering = FlowSteering(
            host=host, failure_domain=failure_domain, random_source=random_source
        )
        self.convergence = ConfigurationConvergence(
            host=host, failure_domain=failure_domain, random_source=random_source
        )
        self.requests = RequestCoordinator(
            host=host,
            failure_domain=failure_domain,
            incarnation=incarnation,
            random_source=random_source,
            health=self.health,
            abstain_until_ms=abstain_until_ms,
        )
        self.graceful_stop = GracefulStop()
        self.configuration: Configuration | None = None
        self._view = MembershipView(members=())
        self._next_view_ms = 0
        self._ejected: frozenset[str] = frozenset()
        self._server_domains: dict[int, tuple[str, str]] = {}
        self._open_connections = 0
        self._timed_components = (
            self.steering,
            self.convergence,
            self.requests,
            self.health,
            self.graceful_stop,
        )
        self._handlers = self._event_handlers()

    @property
    def incarnation(self) -> int:
        """Return the current incarnation, to be sent with each message; a refutation raises it."""
        return self.membership.incarnation

    def handle(self, event: events.Event, now_ms: int) -> list[Action]:
        """Process ``event`` and return the actions to perform."""
        if type(event) is events.PacketArrived:
            return self._handle_local_messages(self.steering.on_packet(event, now_ms), now_ms)
        actions = self._handlers[type(event)](event, now_ms)
        actions += self._update_dependents(now_ms)
        return self._handle_local_messages(actions, now_ms)

    def apply_configuration(self, configuration: Configuration, now_ms: int) -> list[Action]:
        """Apply a parsed revision; older or equal revisions are ignored."""
        if self.configuration and configuration.revision <= self.configuration.revision:
            return []
        self.configuration = configuration
        self._server_domains = _servers_by_wire_id(configuration)
        actions = list(self.membership.apply_configuration(configuration, now_ms))
        actions += self.health.apply_configuration(configuration, now_ms)
        actions += self.steering.apply_configuration(configuration, now_ms)
        actions += self.requests.apply_configuration(configuration, now_ms)
        actions += self._update_dependents(now_ms)
        return self._handle_local_messages(actions, now_ms)

    def choose_for_connection(self, service: str, flow_hash: int, now_ms: int) -> str | None:
        """Return the backend server for a new connection of the TCP listener, or None."""
        return self.steering.choose_for_connection(service, flow_hash, now_ms)

    def set_open_connections(self, count: int) -> None:
        """Set the number of open TCP listener connections; a graceful stop waits for them."""
        self._open_connections = count

    def next_deadline_ms(self) -> int | None:
        """Return when ``TimerFired`` is due, or None."""
        deadlines = [component.next_deadline_ms() for component in self._timed_components]
        deadlines.append(self.membership.next_deadline_ms())
        return min((deadline for deadline in deadlines if deadline is not None), default=None)

    def status(self, now_ms: int) -> HostStatus:
        """Return the status of this host for operators."""
        configuration = self.configuration
        document = self.convergence.document()
        return HostStatus(
            host=self.host,
            failure_domain=self.failure_domain,
            incarnation=self.incarnation,
            revision=configuration.revision if configuration else 0,
            digest=configuration.digest if configuration else "",
            apply_id=document["apply_id"] if document else "",
            conflict=self.convergence.conflict(),
            ready=configuration is not None and not self.graceful_stop.stopping,
            stopping=self.graceful_stop.stopping,
            abstaining=self.requests.abstaining(now_ms),
            members=member_statuses(self.membership.view()),
            services=self.steering.service_statuses(),
            servers=server_statuses(
                configuration,
                ejected=self._ejected,
                records=self.steering.records_by_server(),
                busy_slots=self.requests.busy_slots(),
                connections=lambda name: self.health.reported_connections(name, now_ms),
            ),
        )

    def _event_handlers(self) -> dict[type, Handler]:
        return {
            events.RequestPartArrived: self.requests.on_part,
            events.CancelArrived: self.requests.on_cancel,
            events.AnswerPartArrived: self.requests.on_answer_part,
            events.AttemptFailed: self.requests.on_attempt_failed,
            events.BackendReportArrived: self._on_report,
            events.BackendReportFailed: self._on_report_failed,
            events.StreamConnectFailed: self._on_stream_connect_failed,
            events.HostListChanged: self._on_host_list,
            events.StoreDocumentArrived: self.convergence.on_store_document,
            events.StoreUnavailable: self._on_store_unavailable,
            events.LeaseGranted: self.convergence.on_lease_granted,
            events.LeaseRefused: self._on_lease_refused,
            events.PeerMessageArrived: self._on_peer_message,
            events.TimerFired: self._on_timer,
            events.StopRequested: self._on_stop_requested,
        }

    def _on_report(self, event: events.BackendReportArrived, now_ms: int) -> list[Action]:
        return self.health.on_report(event.report, now_ms)

    def _on_report_failed(self, event: events.BackendReportFailed, now_ms: int) -> list[Action]:
        return self.health.on_report_failed(event.backend_server, now_ms)

    def _on_stream_connect_failed(
        self, event: events.StreamConnectFailed, now_ms: int
    ) -> list[Action]:
        self.health.on_failure(event.backend_server, FailureKind.REFUSED, now_ms)
        return []

    def _on_host_list(self, event: events.HostListChanged, now_ms: int) -> list[Action]:
        return self.membership.on_host_list(event, now_ms)

    def _on_store_unavailable(self, _: events.StoreUnavailable, now_ms: int) -> list[Action]:
        return self.convergence.on_store_unavailable(now_ms)

    def _on_lease_refused(self, _: events.LeaseRefused, now_ms: int) -> list[Action]:
        return self.convergence.on_lease_refused(now_ms)

    def _on_timer(self, _: events.TimerFired, now_ms: int) -> list[Action]:
        self._refresh_digest(now_ms)
        actions = list(self.membership.on_timer(now_ms))
        for component in self._timed_components:
            actions += component.on_timer(now_ms)
        return actions

    def _on_stop_requested(self, event: events.StopRequested, now_ms: int) -> list[Action]:
        actions = self.graceful_stop.begin(event.grace_deadline_ms, now_ms)
        actions += self.membership.begin_leaving(now_ms)
        actions += self.steering.begin_stop(now_ms)
        actions += self.requests.begin_stop(now_ms)
        return actions

    def _on_peer_message(self, event: events.PeerMessageArrived, now_ms: int) -> list[Action]:
        if self.membership.accepts(event.sender, event.incarnation):
            return self._route_message(event, now_ms)
        if isinstance(event.message, messages.Ping):
            # A restarted host whose clock was set back learns from the ack which incarnation to
            # exceed.
            return self.membership.on_message(
                event.sender, event.incarnation, event.message, now_ms
            )
        return [Drop(DropReason.STALE_INCARNATION, event.sender)]

    def _route_message(self, event: events.PeerMessageArrived, now_ms: int) -> list[Action]:
        message = event.message
        match message:
            case messages.Ping() | messages.Ack():
                self._refresh_digest(now_ms)
                actions = list(
                    self.membership.on_message(event.sender, event.incarnation, message, now_ms)
                )
                actions += self.convergence.on_digest(event.sender, message.digest, now_ms)
                return actions
            case messages.PingRequest():
                return self.membership.on_message(event.sender, event.incarnation, message, now_ms)
            case (
                messages.RevisionOffer() | messages.RevisionRequest() | messages.RevisionDocument()
            ):
                return self.convergence.on_message(event.sender, message, now_ms)
            case (
                messages.ForwardedPacket()
                | messages.RecordBatch()
                | messages.RecordBatchAck()
                | messages.RecordQuery()
                | messages.RecordReply()
                | messages.TableHistory()
                | messages.TableHistoryRequest()
            ):
                return self.steering.on_message(event.sender, message, now_ms)
        return self.requests.on_message(event.sender, event.incarnation, message, now_ms)

    def _update_dependents(self, now_ms: int) -> list[Action]:
        """Pass changes of one component to the components that depend on it."""
        actions: list[Action] = []
        view = self._current_view(now_ms)
        if view is not self._view:
            self._view = view
            actions += self.steering.set_members(view, now_ms)
            actions += self.convergence.set_members(view, now_ms)
            actions += self.requests.set_members(view, now_ms)
        ejected = self.health.ejected(now_ms) | self._ejected_by_peers(view)
        if ejected != self._ejected:
            self._ejected = ejected
            actions += self.steering.set_ejected(ejected, now_ms)
        actions += self.graceful_stop.update(
            self.requests.count_in_progress() + self._open_connections,
            self.steering.hand_over_done(),
            now_ms,
        )
        return actions

    def _current_view(self, now_ms: int) -> MembershipView:
        """Return the membership view, rebuilt at intervals if only digests have changed."""
        if not self.membership.states_changed() and now_ms < self._next_view_ms:
            return self._view
        self._next_view_ms = now_ms + MIN_VIEW_INTERVAL_MS
        return self.membership.view()

    def _ejected_by_peers(self, view: MembershipView) -> frozenset[str]:
        """Return the servers that hosts in the same failure domain report as ejected.

        A host in another failure domain may only have lost its link to the server's domain.
        """
        ejected = set()
        for member in view.serving():
            for server_id in member.digest.ejected_servers:
                name, failure_domain = self._server_domains.get(server_id, ("", ""))
                if name and failure_domain == member.failure_domain:
                    ejected.add(name)
        return frozenset(ejected)

    def _refresh_digest(self, now_ms: int) -> None:
        own_ejected = sorted(wire_id(name) for name in self.health.ejected(now_ms))
        configuration = self.configuration
        self.membership.set_digest(
            HostDigest(
                revision=configuration.revision if configuration else 0,
                revision_digest=configuration.digest if configuration else "",
                needed_revisions=self.steering.needed_revisions(),
                wait_estimates=self.requests.wait_estimates(now_ms),
                ejected_servers=tuple(own_ejected),
                abstaining=self.requests.abstaining(now_ms),
            )
        )

    def _handle_local_messages(self, actions: Sequence[Action], now_ms: int) -> list[Action]:
        """Handle the messages of components to this host itself; return the other actions."""
        if not any(_is_local(action, self.host) for action in actions):
            return list(actions)
        result: list[Action] = []
        pending: deque[Action] = deque(actions)
        for _ in range(MAX_LOCAL_MESSAGES + len(pending)):
            if not pending:
                break
            action = pending.popleft()
            if isinstance(action, SendToPeer) and action.host == self.host:
                pending.extendleft(reversed(self._deliver_locally(action, now_ms)))
            else:
                result.append(action)
        return result

    def _deliver_locally(self, action: SendToPeer, now_ms: int) -> list[Action]:
        event = events.PeerMessageArrived(
            sender=self.host, incarnation=self.incarnation, message=action.message
        )
        return self._route_message(event, now_ms)


def _is_local(action: Action, host: str) -> bool:
    return isinstance(action, SendToPeer) and action.host == host


def _servers_by_wire_id(configuration: Configuration) -> dict[int, tuple[str, str]]:
    return {
        wire_id(server.name): (server.name, server.failure_domain)
        for service in configuration.services
        for server in service.backend_servers
    }
