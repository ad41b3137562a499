"""Packets that wait a moment for an answer from a peer or for an activation."""

from __future__ import annotations

from collections.abc import Hashable
from typing import NamedTuple

from redwingswitch._internal.models.events import PacketArrived

HELD_PACKETS = 64
HOLD_FOR_MS = 100
ASK_AGAIN_AFTER_MS = 50


class HeldPacket(NamedTuple):
    """A packet and the name of its service."""

    service: str
    event: PacketArrived


class _Group:
    """Packets that wait for the same thing."""

    def __init__(
        self, *, release_at_ms: int, expected: set[str], ask_again_at_ms: int | None
    ) -> None:
        self.release_at_ms = release_at_ms
        self.ask_again_at_ms = ask_again_at_ms
        self.expected = expected
        self.packets: list[HeldPacket] = []


class HeldPackets:
    """Hold at most ``HELD_PACKETS`` packets, each for at most ``HOLD_FOR_MS``."""

    def __init__(self) -> None:
        self._groups: dict[Hashable, _Group] = {}
        self._held = 0

    def __len__(self) -> int:
        return self._held

    def full(self) -> bool:
        """Return whether no other packet may be held."""
        return self._held >= HELD_PACKETS

    def waiting(self, key: Hashable) -> bool:
        """Return whether a packet waits under ``key``."""
        return key in self._groups

    def hold(
        self,
        key: Hashable,
        packet: HeldPacket,
        *,
        release_at_ms: int,
        expected: tuple[str, ...] = (),
        ask_again_at_ms: int | None = None,
    ) -> None:
        """Hold a packet until all ``expected`` hosts answered for ``key``, or the deadline."""
        group = self._groups.get(key)
        if group is None:
            group = _Group(
                release_at_ms=release_at_ms, expected=set(expected), ask_again_at_ms=ask_again_at_ms
            )
            self._groups[key] = group
        group.packets.append(packet)
        self._held += 1

    def answer(self, key: Hashable, *, source: str = "", final: bool = True) -> list[HeldPacket]:
        """Note an answer; return the packets when it was final or the last one expected."""
        group = self._groups.get(key)
        if group is None:
            return []
        group.expected.discard(source)
        if group.expected and not final:
            return []
        return self._release(key)

    def to_ask_again(self, now_ms: int) -> list[HeldPacket]:
        """Return the first packet of each group whose question has to be repeated now."""
        due = [
            group
            for group in self._groups.values()
            if group.ask_again_at_ms is not None and group.ask_again_at_ms <= now_ms
        ]
        for group in due:
            group.ask_again_at_ms = None
        return [group.packets[0] for group in due]

    def overdue(self, now_ms: int) -> list[HeldPacket]:
        """Release the packets whose deadline has passed."""
        due = [key for key, group in self._groups.items() if group.release_at_ms <= now_ms]
        return [packet for key in due for packet in self._release(key)]

    def next_deadline_ms(self) -> int | None:
        """Return the earliest time at which a group has something to do."""
        deadlines = [group.release_at_ms for group in self._groups.values()]
        again = (group.ask_again_at_ms for group in self._groups.values())
        deadlines += [at_ms for at_ms in again if at_ms is not None]
        return min(deadlines, default=None)

    def _release(self, key: Hashable) -> list[HeldPacket]:
        packets = self._groups.pop(key).packets
        self._held -= len(packets)
        return packets
