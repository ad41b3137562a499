"""Addresses of backend servers and entry hosts, including recently removed ones."""

from __future__ import annotations

import socket

from redwingswitch._internal.models.configuration import BackendServer, Configuration
from redwingswitch._internal.models.identifiers import FlowKey
from redwingswitch._internal.network.peers import PeerAddress
from redwingswitch._internal.settings import PeerKey, SeedSettings

# Established flows may stay with a removed backend server until they are idle.
REMOVED_SERVER_RETENTION_MS = 86_400_000
MAX_REMOVED_SERVERS = 4_096
# A removed entry host may still hand over its records and forward its last packets.
REMOVED_PEER_RETENTION_MS = 120_000

Destination = tuple[bytes, int]


class AddressDirectory:
    """Looks up destination addresses; updated with each configuration revision."""

    def __init__(self, *, pinned_keys: tuple[PeerKey, ...] = ()) -> None:
        self._pinned_keys = {pinned.host: pinned.public_key for pinned in pinned_keys}
        self._seeds: dict[str, PeerAddress] = {}
        self._servers: dict[str, BackendServer] = {}
        self._destinations: dict[str, set[Destination]] = {}
        self._services: dict[Destination, str] = {}
        self._removed_servers: dict[str, tuple[BackendServer, int]] = {}
        self._peers: dict[str, PeerAddress] = {}
        self._removed_peers: dict[str, tuple[PeerAddress, int]] = {}

    def update(self, configuration: Configuration, now_ms: int) -> None:
        """Apply a new revision; retain the entries that it removes for a limited time."""
        # A seed that the revision does not name has left, and its key may have been withdrawn.
        self._seeds = {}
        self._update_servers(configuration, now_ms)
        self._update_peers(configuration, now_ms)
        for service in configuration.services:
            destination = (socket.inet_aton(service.address), service.port)
            self._destinations.setdefault(service.name, set()).add(destination)
            self._services[destination] = service.name

    def set_seeds(self, seeds: tuple[SeedSettings, ...]) -> None:
        """Replace the hosts that are contacted before the first configuration is known."""
        self._seeds = {seed.host: _seed_address(seed) for seed in seeds}

    def find_service(self, flow: FlowKey) -> str:
        """Return the service of a flow's destination, or an empty string."""
        return self._services.get((flow.service_address, flow.service_port), "")

    def find_server(self, backend_server: str) -> BackendServer | None:
        """Return a backend server that is current or recently removed, or None."""
        server = self._servers.get(backend_server)
        if server is not None:
            return server
        removed = self._removed_servers.get(backend_server)
        return removed[0] if removed else None

    def serves_flow(self, *, server: BackendServer, service: str, flow: FlowKey) -> bool:
        """Return whether the server belongs to the service and the flow goes to that service."""
        if server.service != service:
            return False
        destination = (flow.service_address, flow.service_port)
        return destination in self._destinations.get(service, ())

    def servers(self) -> dict[str, BackendServer]:
        """Return the backend servers of this revision and the recently removed ones."""
        removed = {name: server for name, (server, _) in self._removed_servers.items()}
        return {**removed, **self._servers}

    def peers(self) -> list[PeerAddress]:
        """Return the seeds, or the configured entry hosts and the recently removed ones."""
        removed = {host: peer for host, (peer, _) in self._removed_peers.items()}
        known = {**self._seeds, **removed, **self._peers}
        return [self._with_pinned_key(peer) for peer in known.values()]

    def remove_expired(self, now_ms: int) -> bool:
        """Discard removed entries after their retention time; return whether the peers changed."""
        _remove_expired(self._removed_servers, now_ms)
        return _remove_expired(self._removed_peers, now_ms)

    def _with_pinned_key(self, peer: PeerAddress) -> PeerAddress:
        pinned = self._pinned_keys.get(peer.host)
        return peer._replace(public_key=pinned) if pinned else peer

    def _update_servers(self, configuration: Configuration, now_ms: int) -> None:
        servers = {
            server.name: server
            for service in configuration.services
            for server in service.backend_servers
        }
        expires_at_ms = now_ms + REMOVED_SERVER_RETENTION_MS
        for name in self._servers.keys() - servers.keys():
            self._removed_servers[name] = (self._servers[name], expires_at_ms)
        while len(self._removed_servers) > MAX_REMOVED_SERVERS:
            self._removed_servers.pop(next(iter(self._removed_servers)))
        self._servers = servers

    def _update_peers(self, configuration: Configuration, now_ms: int) -> None:
        peers = {
            entry.name: PeerAddress(entry.name, entry.address, entry.peer_port, entry.public_key)
            for entry in configuration.entry_hosts
        }
        expires_at_ms = now_ms + REMOVED_PEER_RETENTION_MS
        for host in self._peers.keys() - peers.keys():
            self._removed_peers[host] = (self._peers[host], expires_at_ms)
        self._peers = peers


def _seed_address(seed: SeedSettings) -> PeerAddress:
    return PeerAddress(seed.host, seed.address, seed.peer_port, seed.public_key)


def _remove_expired(
    removed: dict[str, tuple[PeerAddress, int]] | dict[str, tuple[BackendServer, int]], now_ms: int
) -> bool:
    expired = [name for name, (_, expires_at_ms) in removed.items() if expires_at_ms <= now_ms]
    for name in expired:
        del removed[name]
    return bool(expired)
