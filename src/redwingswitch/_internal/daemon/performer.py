"""The last stage of the pipeline: performs actions."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from redwingswitch._internal.daemon.directory import AddressDirectory
from redwingswitch._internal.daemon.metrics import Metrics
from redwingswitch._internal.daemon.request_metrics import RequestMetrics
from redwingswitch._internal.daemon.store_tasks import StoreTasks
from redwingswitch._internal.models import actions
from redwingswitch._internal.models.configuration import Document
from redwingswitch._internal.models.events import (
    BackendReportArrived,
    BackendReportFailed,
    Event,
)
from redwingswitch._internal.models.requests import Outcome
from redwingswitch._internal.network.backend_client import BackendClient
from redwingswitch._internal.network.caller_codec import (
    MAX_DATAGRAM_BYTES,
    AnswerDatagram,
    encode_datagram,
)
from redwingswitch._internal.ports import BackendReportSource, Clock, PeerTransport
from redwingswitch._internal.utils.logs import write_log

MAX_CONCURRENT_POLLS = 1_024

SubmitEvent = Callable[[Event], None]
SendDatagram = Callable[[bytes, tuple[str, int]], bool]


class DocumentSink(Protocol):
    """Parses and applies accepted documents."""

    def accept(self, document: Document) -> None:
        """Schedule a document to be parsed and applied."""


class ActionPerformer:
    """Performs actions with the daemon's sockets, clients and tasks."""

    def __init__(
        self,
        *,
        directory: AddressDirectory,
        metrics: Metrics,
        request_metrics: RequestMetrics,
        clock: Clock,
        peers: PeerTransport,
        backends: BackendClient,
        reports: BackendReportSource,
        store: StoreTasks | None,
        documents: DocumentSink,
        send_packet: SendDatagram,
        send_answer: SendDatagram,
        submit: SubmitEvent,
        on_stop_completed: Callable[[int], None],
    ) -> None:
        self._directory = directory
        self._metrics = metrics
        self._request_metrics = request_metrics
        self._clock = clock
        self._peers = peers
        self._backends = backends
        self._reports = reports
        self._send_packet = send_packet
        self._send_answer = send_answer
        self._submit = submit
        self._on_stop_completed = on_stop_completed
        self._polls: set[asyncio.Task[None]] = set()
        self._handlers: dict[type, Callable[[Any], None]] = {
            actions.SendToBackendServer: self._send_to_backend_server,
            actions.SendToPeer: self._send_to_peer,
            actions.Drop: self._drop,
            actions.DispatchRequest: backends.dispatch,
            actions.CancelAttempt: self._cancel_attempt,
            actions.AnswerCaller: self._answer_caller,
            actions.ApplyDocument: lambda action: documents.accept(action.document),
            actions.PollBackendReport: self._poll_report,
            actions.Log: lambda action: write_log(**action._asdict()),
            actions.StopCompleted: lambda action: on_stop_completed(action.cut_off_requests),
            **_store_handlers(store),
        }

    def perform(self, requested_actions: Sequence[actions.Action]) -> None:
        """Perform the actions in order."""
        for action in requested_actions:
            self._handlers[type(action)](action)

    def close(self) -> None:
        """Cancel the polls in progress."""
        for poll in self._polls:
            poll.cancel()

    def _send_to_backend_server(self, action: actions.SendToBackendServer) -> None:
        server = self._directory.find_server(action.backend_server)
        if server is None:
            self._count_drop(actions.DropReason.NO_BACKEND_SERVER)
            return
        if not self._directory.serves_flow(server=server, service=action.service, flow=action.flow):
            self._count_drop(actions.DropReason.WRONG_SERVICE)
            return
        if self._send_packet(action.payload, (server.address, server.tunnel_port)):
            self._metrics.count("packets_total", action.service, action.backend_server)
        else:
            self._count_drop(actions.DropReason.OVERLOAD)

    def _send_to_peer(self, action: actions.SendToPeer) -> None:
        if not self._peers.send(action.host, action.message):
            self._metrics.count("messages_not_sent_total", type(action.message).__name__)

    def _drop(self, action: actions.Drop) -> None:
        self._count_drop(action.reason)

    def _count_drop(self, reason: actions.DropReason) -> None:
        self._metrics.count("drops_total", reason.value)

    def _cancel_attempt(self, action: actions.CancelAttempt) -> None:
        self._backends.cancel(backend_server=action.backend_server, attempt_id=action.attempt_id)

    def _answer_caller(self, action: actions.AnswerCaller) -> None:
        header, body = action.header, action.body
        data = encode_datagram(AnswerDatagram(header, body))
        if len(data) > MAX_DATAGRAM_BYTES:
            header = header._replace(
                outcome=Outcome.INCOMPLETE, part=0, parts=1, reason="an answer part is too large"
            )
            data = encode_datagram(AnswerDatagram(header, b""))
        self._request_metrics.on_answer(header, self._clock.now_ms())
        self._send_answer(data, action.caller)

    def _poll_report(self, action: actions.PollBackendReport) -> None:
        if len(self._polls) >= MAX_CONCURRENT_POLLS:
            self._submit(BackendReportFailed(action.backend_server))
            return
        poll = asyncio.ensure_future(self._read_report(action.backend_server))
        self._polls.add(poll)
        poll.add_done_callback(self._polls.discard)

    async def _read_report(self, backend_server: str) -> None:
        report = await self._reports.read(backend_server)
        if report is None:
            self._submit(BackendReportFailed(backend_server))
        else:
            self._submit(BackendReportArrived(report))


def _store_handlers(store: StoreTasks | None) -> dict[type, Callable[[Any], None]]:
    if store is None:
        action_types = (
            actions.AcquireLease,
            actions.ReleaseLease,
            actions.WatchStore,
            actions.RestoreDocument,
        )
        return {action_type: lambda _: None for action_type in action_types}
    return {
        actions.AcquireLease: store.acquire,
        actions.ReleaseLease: store.release,
        actions.WatchStore: store.watch,
        actions.RestoreDocument: store.restore,
    }
