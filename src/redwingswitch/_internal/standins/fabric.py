"""Stand-in for the network fabric: sends packets to random hosts, with loss and delay."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from tornado.ioloop import IOLoop

from redwingswitch._internal.ports import RandomSource

MAX_DELAYED_PACKETS = 10_000
MS_PER_S = 1_000


class FabricHost(NamedTuple):
    """An entry host as the fabric knows it."""

    name: str
    address: str
    data_port: int
    request_port: int


class Impairments(NamedTuple):
    """Loss, duplication and delay of packets; ratios are between 0 and 1."""

    loss_ratio: float = 0.0
    duplication_ratio: float = 0.0
    delay_ratio: float = 0.0
    max_delay_ms: int = 0


UNIMPAIRED = Impairments()

Send = Callable[[FabricHost], object]


class Fabric:
    """Delivers each packet zero, one or two times, each time to a random host."""

    def __init__(
        self, *, random_source: RandomSource, impairments: Impairments = UNIMPAIRED
    ) -> None:
        self._random = random_source
        self._impairments = impairments
        self._hosts: tuple[FabricHost, ...] = ()
        self._delayed_packets = 0
        self.lost_packets = 0
        self.duplicated_packets = 0

    def update_hosts(self, hosts: Sequence[FabricHost]) -> None:
        """Replace the hosts that packets are sprayed to."""
        self._hosts = tuple(hosts)

    def spray(self, send: Send) -> None:
        """Deliver one packet by calling ``send`` with its host."""
        if not self._hosts or self._random.random() < self._impairments.loss_ratio:
            self.lost_packets += 1
            return
        self._deliver(send)
        if self._random.random() < self._impairments.duplication_ratio:
            self.duplicated_packets += 1
            self._deliver(send)

    def _deliver(self, send: Send) -> None:
        host = self._hosts[self._random.randrange(len(self._hosts))]
        delayed = self._random.random() < self._impairments.delay_ratio
        if not delayed or self._delayed_packets >= MAX_DELAYED_PACKETS:
            send(host)
            return
        self._delayed_packets += 1
        delay_ms = self._random.random() * self._impairments.max_delay_ms
        IOLoop.current().call_later(delay_ms / MS_PER_S, self._deliver_delayed, send, host)

    def _deliver_delayed(self, send: Send, host: FabricHost) -> None:
        self._delayed_packets -= 1
        send(host)
