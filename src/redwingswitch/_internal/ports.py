"""Interfaces that daemons, tests and embedding programs implement differently.

The platform is the environment in which the entry hosts run. It provides the key-value service, the
list of hosts, and the list of routes and backend servers.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, NamedTuple, Protocol, TypeVar

if TYPE_CHECKING:
    # Each program loads only the models of the ports that it uses.
    from redwingswitch._internal.models.cookie_flows import FlowPacket
    from redwingswitch._internal.models.events import ListedHost
    from redwingswitch._internal.models.list_readers import (
        DomainReader,
        ListReader,
        RegisteredReader,
    )
    from redwingswitch._internal.models.messages import PeerMessage
    from redwingswitch._internal.models.requests import BackendReport
    from redwingswitch._internal.models.server_list import (
        ServerList,
        ServerListChanges,
        StoredRoutes,
    )
    from redwingswitch._internal.models.status import FleetStatus

T = TypeVar("T")


class Clock(Protocol):
    """A monotonic clock of the local host."""

    def now_ms(self) -> int:
        """Return milliseconds since an arbitrary point; never goes back."""


class RandomSource(Protocol):
    """The methods of ``random.Random`` that the decision components use."""

    def random(self) -> float:
        """Return a number from 0 up to, not including, 1."""

    def randrange(self, stop: int, /) -> int:
        """Return an integer from 0 up to, not including, ``stop``."""

    def shuffle(self, x: list[T], /) -> None:
        """Shuffle a list in place."""

    def getrandbits(self, k: int, /) -> int:
        """Return an integer of ``k`` random bits."""


class StoredValue(NamedTuple):
    """A value in the key-value service; ``version`` increases with each write to the key."""

    value: bytes
    version: int


class KeyPrecondition(NamedTuple):
    """The state that a key must have for a write; ``version`` 0 means that it must not exist.

    The key must also have ``value``, unless that is None.
    """

    key: str
    version: int
    value: bytes | None = None


class GrantedLease(NamedTuple):
    """A lease in the key-value service and the version of the key that is attached to it."""

    lease_id: int
    key_version: int


class ConfigStore(Protocol):
    """The platform's key-value service.

    Every method raises ``StoreUnavailableError`` when a read failed or a write certainly had no
    effect, and ``StoreOutcomeUnknownError`` when a write may have taken effect.
    """

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of ``key``, or None when it does not exist."""

    async def compare_and_swap(
        self, *, key: str, value: bytes, expected: Sequence[KeyPrecondition]
    ) -> int | None:
        """Write ``value`` if every precondition holds; return the new version, or None if not."""

    async def acquire_lease(self, *, key: str, holder: str, ttl_ms: int) -> GrantedLease | None:
        """Create ``key`` under a new lease; return None while another holder has it."""

    async def renew_lease(self, lease: GrantedLease) -> bool:
        """Extend a lease; return False when it has expired."""

    async def release_lease(self, lease: GrantedLease) -> None:
        """Release a lease, which also deletes its key."""

    async def watch(
        self, key: str, *, after_version: int, on_value: Callable[[StoredValue], None]
    ) -> None:
        """Call ``on_value`` for each later value until it is cancelled or the store fails."""


class DatagramSender(Protocol):
    """Sends datagrams to an address and a port."""

    def send(self, data: bytes, address: tuple[str, int]) -> bool:
        """Send a datagram; return False when the local network stack rejects it."""


class ServerListStore(Protocol):
    """The platform's list of routes and of backend servers that register themselves.

    Its revisions keep their order when the store is restored, see ``models.store_revisions``. Every
    method raises ``StoreUnavailableError`` when the store cannot be read.
    """

    async def read_all(self, *, may_be_stale: bool = False) -> ServerList:
        """Return the whole list; one that may be seconds old costs the store a tenth."""

    async def read_changes(self, *, after_revision: int, wait_ms: int) -> ServerListChanges:
        """Return the changes after ``after_revision``, waiting up to ``wait_ms`` for one.

        Raises ``StoreHistoryLostError`` when the list must be read as a whole.
        """

    async def read_server_changes(self, *, after_revision: int) -> ServerListChanges:
        """Return the changes of backend servers after ``after_revision``, without a wait.

        Unlike ``read_changes``, this does not transfer each version of the routes. Raises
        ``StoreHistoryLostError`` when the list must be read as a whole.
        """

    async def read_routes(self, *, may_be_stale: bool = False) -> StoredRoutes:
        """Return the newest routes; those that may be seconds old cost the store a tenth."""

    async def read_reader(self) -> RegisteredReader:
        """Return the record of this failure domain's reader, which may be seconds old."""

    async def read_other_readers(self) -> Sequence[DomainReader]:
        """Return the newest records of the readers of other failure domains."""

    async def register_reader(self, reader: ListReader, *, expected: int) -> RegisteredReader:
        """Store the record of a failure domain's reader unless it was changed since ``expected``.

        ``expected`` is the revision of the record to replace, 0 for none. Returns the record that
        is in the store afterwards.
        """

    async def probe(self, *, known_revision: int) -> int:
        """Return the store's newest revision; never an earlier one than at the time of the call.

        Does not wait for a read that is in progress. Raises ``StoreHistoryLostError`` when the
        store was restored since ``known_revision``.
        """

    def close(self) -> None:
        """Close all connections."""


class PacketCodec(Protocol):
    """The wire format of packets that carry a cookie; any host may get any packet of a flow."""

    def decode(self, datagram: bytes) -> FlowPacket:
        """Return a caller's packet; raise ``DecodeError`` for a malformed one."""

    def encode_for_server(self, packet: FlowPacket, *, cookie: int, tunnel_prefix: bytes) -> bytes:
        """Return the datagram that carries a packet to a backend server."""

    def encode_reset(self, packet: FlowPacket) -> bytes:
        """Return a datagram that resets the packet's flow at its caller."""


class FleetStatusSource(Protocol):
    """The admin endpoints of the entry hosts."""

    async def read(self, endpoints: Sequence[str]) -> FleetStatus:
        """Ask every endpoint, an ``address:port``, for its status."""


class HostList(Protocol):
    """The platform's list of hosts, which may be out of date."""

    async def read(self) -> Sequence[ListedHost]:
        """Return the hosts that are currently in the list."""


class BackendReportSource(Protocol):
    """The load endpoint of a backend server."""

    async def read(self, backend_server: str) -> BackendReport | None:
        """Return the latest report, or None when the endpoint did not answer."""


class PeerTransport(Protocol):
    """Authenticated messages between entry hosts."""

    def send(self, host: str, message: PeerMessage) -> bool:
        """Queue a message; return False when the host is unknown or its queue is full."""
