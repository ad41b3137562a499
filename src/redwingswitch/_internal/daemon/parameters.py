"""Parameters of the entry daemon and the interface of the decision object that it drives."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from redwingswitch._internal.decisions.flows.steering_context import SteeringStatistics
from redwingswitch._internal.models.actions import Action
from redwingswitch._internal.models.configuration import Configuration
from redwingswitch._internal.models.events import Event
from redwingswitch._internal.network.peers import PeerKeys
from redwingswitch._internal.settings import PeerKey


class DaemonParameters(NamedTuple):
    """The settings of one entry daemon; port 0 requests an ephemeral port.

    ``pinned_keys`` replace the configuration's keys of their hosts.
    """

    host: str
    failure_domain: str
    address: str
    peer_port: int
    data_port: int
    request_port: int
    admin_port: int
    keys: PeerKeys = PeerKeys()
    allow_plaintext: bool = False
    pinned_keys: tuple[PeerKey, ...] = ()
    grace_period_ms: int = 30_000


class BoundPorts(NamedTuple):
    """The ports that an entry daemon has bound."""

    peer_port: int
    data_port: int
    request_port: int
    admin_port: int


class SteeringStatisticsSource(Protocol):
    """The part of flow steering that the metrics use."""

    def statistics(self) -> SteeringStatistics:
        """Return the counters since the start of the process."""


class EntryHostDecisions(Protocol):
    """The decisions of one entry host; see ``decisions.entry_host.EntryHost``."""

    @property
    def incarnation(self) -> int:
        """Return the incarnation for sent messages; it increases to refute a suspicion."""

    @property
    def steering(self) -> SteeringStatisticsSource:
        """Return the flow steering."""

    def handle(self, event: Event, now_ms: int) -> list[Action]:
        """Handle an event; return the actions to perform."""

    def apply_configuration(self, configuration: Configuration, now_ms: int) -> list[Action]:
        """Apply a parsed revision; return the actions to perform."""

    def choose_for_connection(self, service: str, flow_hash: int, now_ms: int) -> str | None:
        """Return the backend server of a new connection, or None."""

    def set_open_connections(self, count: int) -> None:
        """Set the number of open spliced connections."""

    def next_deadline_ms(self) -> int | None:
        """Return when ``TimerFired`` is due, or None."""

    def status(self, now_ms: int) -> Mapping[str, object]:
        """Return the host's state as a ``HostStatus``."""
