"""Authenticated messages between entry hosts: pyzmq ROUTER and DEALER sockets with CURVE keys."""

from __future__ import annotations

import ipaddress
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import zmq
from tornado.ioloop import IOLoop
from zmq.auth.asyncio import AsyncioAuthenticator

from redwingswitch._internal.exceptions import DecodeError, PeerSecurityError
from redwingswitch._internal.models.messages import PeerMessage
from redwingswitch._internal.network.codec import Envelope, decode_message, encode_message

MAX_QUEUED_MESSAGES = 1_000
MAX_MESSAGE_BYTES = 4_000_000
MIN_RECONNECT_INTERVAL_MS = 100
MAX_RECONNECT_INTERVAL_MS = 2_000
# A connection whose data is not acknowledged is closed after this time, so that hosts reconnect
# after a partition without waiting for TCP's retransmission timer.
TCP_RETRANSMISSION_TIMEOUT_MS = 5_000
# libzmq does not retry a connection whose key the peer rejected, and a peer rejects a host that its
# configuration does not list yet. A socket whose sends failed for this time is therefore replaced.
SOCKET_REPLACEMENT_DELAY_S = 0.5
# Reading is limited per loop iteration, so that timers and other sockets are served while many
# messages arrive.
MAX_BATCH_MESSAGES = 64
FRAMES_PER_MESSAGE = 2

OnMessage = Callable[[Envelope], None]
OnRefused = Callable[[str], None]
OnSent = Callable[[PeerMessage, int], None]


class PeerAddress(NamedTuple):
    """Where a peer listens; ``public_key`` is its CURVE key in Z85, empty for plaintext."""

    host: str
    address: str
    port: int
    public_key: str


class PeerKeys(NamedTuple):
    """The CURVE key pair of a host in Z85; both empty for plaintext on loopback."""

    public_key: str = ""
    secret_key: str = ""

    @property
    def encrypted(self) -> bool:
        """Return whether messages are encrypted and authenticated."""
        return bool(self.secret_key)


class _ListedKeysProvider:
    """A credentials provider for the authenticator that accepts the keys of listed peers."""

    def __init__(self, *, transport: PeerSockets) -> None:
        self._transport = transport

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a peer with this public key is listed."""
        return self._transport.is_listed_key(key.decode("ascii"))


class PeerSockets:
    """Implements ``ports.PeerTransport``.

    It sends through one DEALER socket per peer, which the first send connects, and receives through
    one ROUTER socket. A message is dropped when the queue is full or the peer is not connected:
    every message is periodic or acknowledged, and a late one would be useless.
    """

    def __init__(
        self,
        *,
        host: str,
        incarnation: int,
        address: str,
        port: int,
        keys: PeerKeys,
        allow_plaintext: bool,
        on_message: OnMessage,
        on_refused: OnRefused,
        on_sent: OnSent,
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._keys = keys
        self._allow_plaintext = allow_plaintext
        self._on_message = on_message
        self._on_refused = on_refused
        self._on_sent = on_sent
        self._peers: dict[str, PeerAddress] = {}
        self._dealers: dict[str, zmq.Socket[bytes]] = {}
        self._failing_since_s: dict[str, float] = {}
        self._check_plaintext(address)
        # The address of an authenticator is unique within a context, so each host has a context of
        # its own.
        self._context = zmq.Context()
        self._authenticator = self._start_authenticator()
        self._router = self._context.socket(zmq.ROUTER)
        try:
            self._bind_router(address, port)
        except zmq.ZMQError as error:
            # A context that is collected with open sockets waits for them forever.
            self._close_sockets()
            raise OSError(error.errno, error.strerror, f"{address}:{port}") from error
        self._loop = IOLoop.current()
        self._router_descriptor = int(self._router.getsockopt(zmq.FD))
        self._loop.add_handler(self._router_descriptor, lambda *_: self._read_batch(), IOLoop.READ)

    @property
    def port(self) -> int:
        """Return the bound port."""
        endpoint = self._router.getsockopt(zmq.LAST_ENDPOINT)
        assert isinstance(endpoint, bytes)
        return int(endpoint.rstrip(b"\0").rpartition(b":")[2])

    def update_peers(self, peers: Iterable[PeerAddress]) -> None:
        """Replace the listed peers; raise PeerSecurityError if ``check_peer`` rejects one."""
        peers_by_host = {peer.host: peer for peer in peers if peer.host != self._host}
        for peer in peers_by_host.values():
            self.check_peer(peer)
        for host, peer in self._peers.items():
            if peers_by_host.get(host) != peer:
                self._disconnect(host)
        self._peers = peers_by_host

    def check_peer(self, peer: PeerAddress) -> None:
        """Raise PeerSecurityError if messages to ``peer`` would lack the required encryption."""
        if self._keys.encrypted and not peer.public_key:
            raise PeerSecurityError(f"{peer.host} has no public key; add its CURVE key in Z85")
        self._check_plaintext(peer.address)

    def is_listed_key(self, public_key: str) -> bool:
        """Return whether a listed peer has this public key."""
        return any(peer.public_key == public_key for peer in self._peers.values())

    def send(self, host: str, message: PeerMessage) -> bool:
        """Queue a message; return False when the host is unknown or its queue is full."""
        peer = self._peers.get(host)
        if peer is None:
            return False
        data = encode_message(sender=self._host, incarnation=self._incarnation, message=message)
        try:
            self._get_or_create_dealer(peer).send(data, flags=zmq.NOBLOCK)
        except zmq.ZMQError:
            self._on_send_failure(host)
            return False
        self._failing_since_s.pop(host, None)
        self._on_sent(message, len(data))
        return True

    def set_incarnation(self, incarnation: int) -> None:
        """Use ``incarnation`` in later messages, after a suspicion was refuted."""
        self._incarnation = incarnation

    def close(self) -> None:
        """Close all sockets; queued messages are discarded. A second call has no effect."""
        if self._router.closed:
            return
        for host in list(self._dealers):
            self._disconnect(host)
        self._loop.remove_handler(self._router_descriptor)
        self._close_sockets()

    def _close_sockets(self) -> None:
        self._router.close(linger=0)
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.destroy(linger=0)

    def _read_batch(self) -> None:
        for _ in range(MAX_BATCH_MESSAGES):
            if self._router.closed:
                return
            try:
                frames = self._router.recv_multipart(flags=zmq.NOBLOCK, copy=False)
            except zmq.Again:
                return
            self._on_frames(frames)
        # The descriptor does not become readable again for messages that are already queued.
        self._loop.add_callback(self._read_batch)

    def _on_send_failure(self, host: str) -> None:
        now_s = self._loop.time()
        since_s = self._failing_since_s.setdefault(host, now_s)
        if now_s - since_s >= SOCKET_REPLACEMENT_DELAY_S:
            self._disconnect(host)

    def _on_frames(self, frames: list[Any]) -> None:
        if len(frames) != FRAMES_PER_MESSAGE:
            self._on_refused("a peer message must have one frame")
            return
        try:
            envelope = decode_message(frames[1].bytes)
        except DecodeError as error:
            self._on_refused(str(error))
            return
        if not self._is_authentic(envelope.sender, frames[1]):
            self._on_refused(f"the key of {envelope.sender} is not listed for it")
            return
        self._on_message(envelope)

    def _is_authentic(self, sender: str, frame: Any) -> bool:
        if not self._keys.encrypted:
            return True
        peer = self._peers.get(sender)
        return peer is not None and bool(frame.get("User-Id") == peer.public_key)

    def _get_or_create_dealer(self, peer: PeerAddress) -> zmq.Socket[bytes]:
        dealer = self._dealers.get(peer.host)
        if dealer is None:
            dealer = self._connect(peer)
            self._dealers[peer.host] = dealer
        return dealer

    def _connect(self, peer: PeerAddress) -> zmq.Socket[bytes]:
        dealer = self._context.socket(zmq.DEALER)
        _set_socket_options(dealer)
        dealer.setsockopt(zmq.IMMEDIATE, 1)
        dealer.setsockopt(zmq.RECONNECT_IVL, MIN_RECONNECT_INTERVAL_MS)
        dealer.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_INTERVAL_MS)
        if self._keys.encrypted:
            self._set_keys(dealer)
            dealer.curve_serverkey = peer.public_key.encode("ascii")
        dealer.connect(f"tcp://{peer.address}:{peer.port}")
        return dealer

    def _disconnect(self, host: str) -> None:
        self._failing_since_s.pop(host, None)
        dealer = self._dealers.pop(host, None)
        if dealer is not None:
            dealer.close(linger=0)

    def _bind_router(self, address: str, port: int) -> None:
        _set_socket_options(self._router)
        if self._keys.encrypted:
            self._set_keys(self._router)
            self._router.curve_server = True
        self._router.bind(f"tcp://{address}:{port or '*'}")

    def _set_keys(self, socket: zmq.Socket[bytes]) -> None:
        socket.curve_publickey = self._keys.public_key.encode("ascii")
        socket.curve_secretkey = self._keys.secret_key.encode("ascii")

    def _start_authenticator(self) -> AsyncioAuthenticator | None:
        if not self._keys.encrypted:
            return None
        authenticator = AsyncioAuthenticator(self._context)
        authenticator.start()
        authenticator.configure_curve_callback(
            domain="*", credentials_provider=_ListedKeysProvider(transport=self)
        )
        return authenticator

    def _check_plaintext(self, address: str) -> None:
        if self._keys.encrypted:
            return
        if not self._allow_plaintext or not ipaddress.ip_address(address).is_loopback:
            raise PeerSecurityError(
                f"plaintext to {address} is refused; configure CURVE keys, or allow plaintext and "
                "use loopback addresses only"
            )


def _set_socket_options(socket: zmq.Socket[bytes]) -> None:
    socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
    socket.setsockopt(zmq.RCVHWM, MAX_QUEUED_MESSAGES)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    socket.setsockopt(zmq.TCP_MAXRT, TCP_RETRANSMISSION_TIMEOUT_MS)
    socket.setsockopt(zmq.LINGER, 0)
