"""The first stage of the pipeline: parses received data into events, or counts and drops it."""

from __future__ import annotations

from collections.abc import Callable

from logbook import Logger

from redwingswitch._internal.daemon.directory import AddressDirectory
from redwingswitch._internal.daemon.metrics import Metrics
from redwingswitch._internal.daemon.request_metrics import RequestMetrics
from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.models.actions import DropReason
from redwingswitch._internal.models.events import (
    CancelArrived,
    Event,
    PeerMessageArrived,
    RequestPartArrived,
)
from redwingswitch._internal.models.identifiers import CallerAddress, PacketKind
from redwingswitch._internal.models.messages import ForwardedRequest
from redwingswitch._internal.network.caller_codec import (
    CancelDatagram,
    RequestDatagram,
    decode_datagram,
)
from redwingswitch._internal.network.codec import Envelope
from redwingswitch._internal.network.tunnel import decode_packet
from redwingswitch._internal.ports import Clock

log = Logger("filters")

SubmitEvent = Callable[[Event], None]


class PacketReceiver:
    """Parses callers' packets, which the network fabric spreads over the entry hosts."""

    def __init__(
        self, *, submit: SubmitEvent, metrics: Metrics, directory: AddressDirectory
    ) -> None:
        self._submit = submit
        self._metrics = metrics
        self._directory = directory

    def on_datagram(self, data: bytes, _: tuple[str, int]) -> None:
        """Submit a packet from the data port, and count opened flows."""
        try:
            event = decode_packet(data)
        except DecodeError:
            self._metrics.count("drops_total", DropReason.MALFORMED.value)
            return
        if event.kind is PacketKind.OPEN:
            self._metrics.count("flows_opened_total", self._directory.find_service(event.flow))
        self._submit(event)


class RequestDatagramReceiver:
    """Parses callers' request datagrams."""

    def __init__(
        self,
        *,
        submit: SubmitEvent,
        metrics: Metrics,
        request_metrics: RequestMetrics,
        clock: Clock,
    ) -> None:
        self._submit = submit
        self._metrics = metrics
        self._request_metrics = request_metrics
        self._clock = clock

    def on_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        """Submit a request or a cancellation from the request port; drop anything else."""
        try:
            datagram = decode_datagram(data)
        except DecodeError:
            self._metrics.count("drops_total", DropReason.MALFORMED.value)
            return
        if isinstance(datagram, RequestDatagram):
            self._request_metrics.on_request(datagram.header, self._clock.now_ms())
            caller = CallerAddress(*address)
            self._submit(RequestPartArrived(datagram.header, datagram.body, caller))
        elif isinstance(datagram, CancelDatagram):
            self._submit(CancelArrived(datagram.header.service, datagram.header.request_id))


class PeerMessageReceiver:
    """Passes on messages from other entry hosts, and counts refused ones."""

    def __init__(
        self,
        *,
        submit: SubmitEvent,
        metrics: Metrics,
        request_metrics: RequestMetrics,
        clock: Clock,
    ) -> None:
        self._submit = submit
        self._metrics = metrics
        self._request_metrics = request_metrics
        self._clock = clock

    def on_message(self, envelope: Envelope) -> None:
        """Handle an authenticated message."""
        if isinstance(envelope.message, ForwardedRequest):
            self._request_metrics.on_request(envelope.message.header, self._clock.now_ms())
        self._submit(PeerMessageArrived(envelope.sender, envelope.incarnation, envelope.message))

    def on_refused(self, reason: str) -> None:
        """Count and log a message that was refused as malformed or not authentic."""
        self._metrics.count("drops_total", DropReason.MALFORMED.value)
        log.warning(f"a peer message was refused: {reason}")
