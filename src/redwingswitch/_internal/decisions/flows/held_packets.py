"""Packets held briefly for an answer from a peer or for the activation of a lookup table."""

from __future__ import annotations

from collections.abc import Hashable
from typing import NamedTuple

from redwingswitch._internal.models.events import PacketArrived

MAX_HELD_PACKETS = 64
MAX_HOLD_MS = 100
QUERY_RETRY_DELAY_MS = 50


class HeldPacket(NamedTuple):
    """A held packet and the name of its service."""

    service: str
    event: PacketArrived


class _HeldPacketGroup:
    """Packets that are held for the same answer or activation."""

    def __init__(
        self, *, release_at_ms: int, expected_hosts: set[str], retry_at_ms: int | None
    ) -> None:
        self.release_at_ms = release_at_ms
        self.retry_at_ms = retry_at_ms
        self.expected_hosts = expected_hosts
        self.packets: list[HeldPacket] = []


class HeldPackets:
    """Hold up to ``MAX_HELD_PACKETS`` packets, each for at most ``MAX_HOLD_MS``.

    Packets with the same key wait for the same answer or activation.
    """

    def __init__(self) -> None:
        self._groups: dict[Hashable, _HeldPacketGroup] = {}
        self._held = 0

    def __len__(self) -> int:
        return self._held

    def full(self) -> bool:
        """Return whether the limit of held packets is reached."""
        return self._held >= MAX_HELD_PACKETS

    def is_waiting(self, key: Hashable) -> bool:
        """Return whether a packet is held under ``key``."""
        return key in self._groups

    def hold(
        self,
        key: Hashable,
        packet: HeldPacket,
        *,
        release_at_ms: int,
        expected_hosts: tuple[str, ...] = (),
        retry_at_ms: int | None = None,
    ) -> None:
        """Hold a packet until all ``expected_hosts`` have answered or until its deadline."""
        group = self._groups.get(key)
        if group is None:
            group = _HeldPacketGroup(
                release_at_ms=release_at_ms,
                expected_hosts=set(expected_hosts),
                retry_at_ms=retry_at_ms,
            )
            self._groups[key] = group
        group.packets.append(packet)
        self._held += 1

    def on_answer(self, key: Hashable, *, source: str = "", final: bool = True) -> list[HeldPacket]:
        """Record an answer; release the packets when it is final or the last one expected."""
        group = self._groups.get(key)
        if group is None:
            return []
        group.expected_hosts.discard(source)
        if group.expected_hosts and not final:
            return []
        return self._release(key)

    def due_for_retry(self, now_ms: int) -> list[HeldPacket]:
        """Return the first packet of each group whose query is due to be repeated."""
        due = [
            group
            for group in self._groups.values()
            if group.retry_at_ms is not None and group.retry_at_ms <= now_ms
        ]
        for group in due:
            group.retry_at_ms = None
        return [group.packets[0] for group in due]

    def release_overdue(self, now_ms: int) -> list[HeldPacket]:
        """Release the packets whose deadline has passed."""
        due = [key for key, group in self._groups.items() if group.release_at_ms <= now_ms]
        return [packet for key in due for packet in self._release(key)]

    def next_deadline_ms(self) -> int | None:
        """Return the earliest time at which a group is due for a retry or for release."""
        deadlines = [group.release_at_ms for group in self._groups.values()]
        retries = (group.retry_at_ms for group in self._groups.values())
        deadlines += [at_ms for at_ms in retries if at_ms is not None]
        return min(deadlines, default=None)

    def _release(self, key: Hashable) -> list[HeldPacket]:
        packets = self._groups.pop(key).packets
        self._held -= len(packets)
        return packets
