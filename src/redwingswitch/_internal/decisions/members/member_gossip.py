"""Membership updates that pings and acks carry, and refutation of wrong updates."""

from __future__ import annotations

from collections.abc import Iterable

from redwingswitch._internal.decisions.members.member_table import Member, MemberTable
from redwingswitch._internal.models.members import MemberState, MemberUpdate

UPDATES_PER_MESSAGE = 6


class MemberGossip:
    """Selects the updates for each message and refutes wrong updates about the local host.

    A host refutes a wrong update about itself by announcing a higher incarnation.
    """

    def __init__(
        self, *, host: str, failure_domain: str, incarnation: int, table: MemberTable
    ) -> None:
        self._host = host
        self._failure_domain = failure_domain
        self._table = table
        self.incarnation = incarnation
        self.leaving = False
        self.refutations = 0

    def own_update(self) -> MemberUpdate:
        """Return the update about the local host."""
        state = MemberState.LEAVING if self.leaving else MemberState.ALIVE
        return MemberUpdate(self._host, self._failure_domain, self.incarnation, state)

    def queue_own_update(self) -> None:
        """Queue the update about the local host, because new members may not know it."""
        self._table.queue_update(self._host)

    def begin_leaving(self) -> bool:
        """Mark the local host as leaving; return False if it already was."""
        if self.leaving:
            return False
        self.leaving = True
        self._table.queue_update(self._host)
        return True

    def withdraw_leaving(self) -> None:
        """Mark the local host as alive again.

        This takes a higher incarnation, because leaving has precedence over alive within the same
        incarnation.
        """
        self.leaving = False
        self._raise_incarnation_above(self.incarnation)

    def apply_updates(self, sender: str, updates: Iterable[MemberUpdate], now_ms: int) -> None:
        """Apply the updates of a message; refute wrong ones about the local host."""
        for update in updates:
            if update.host == self._host:
                self._refute_if_wrong(update)
            else:
                trusted = self._is_trusted_sender(sender, update)
                self._table.apply_update(update, now_ms, trusted=trusted)

    def updates_for(self, target: str, *, include_target: bool = False) -> tuple[MemberUpdate, ...]:
        """Return the updates for a message to ``target`` and count them as sent.

        A target that is not considered alive is sent the update about itself first, so that it
        can refute it. With ``include_target`` it is sent that update in any state.
        """
        member = self._table.get(target)
        chosen: dict[str, MemberUpdate] = {}
        if (
            member is not None
            and member.unverified_update is not None
            and member.needs_verification()
        ):
            chosen[target] = member.unverified_update
        elif member is not None and (include_target or member.state != MemberState.ALIVE):
            chosen[target] = member.as_update()
        if self.leaving or member is None or not member.has_acknowledged():
            chosen[self._host] = self.own_update()
        self._add_queued(chosen)
        if member is None or not member.has_acknowledged():
            self._add_members_not_alive(chosen)
        if not chosen:
            self._add_round_robin_member(chosen)
        return tuple(chosen.values())

    def _is_trusted_sender(self, sender: str, update: MemberUpdate) -> bool:
        """Return whether the sender's view of a host is as reliable as the local one.

        This holds for senders in the failure domain of that host or of the local host. Any other
        sender may be the only one that cannot reach the host. Without this rule, each side of a
        healed partition would accept the other side's deaths of its own members.
        """
        member = self._table.get(sender)
        if member is None:
            return False
        return member.failure_domain in (update.failure_domain, self._failure_domain)

    def _refute_if_wrong(self, update: MemberUpdate) -> None:
        own = self.own_update()
        if (update.incarnation, update.state) > (own.incarnation, own.state):
            self.refutations += 1
            self._raise_incarnation_above(update.incarnation)

    def _raise_incarnation_above(self, incarnation: int) -> None:
        self.incarnation = incarnation + 1
        self._table.mark_states_changed()
        self._table.queue_update(self._host)

    def _add_queued(self, chosen: dict[str, MemberUpdate]) -> None:
        free = UPDATES_PER_MESSAGE - len(chosen)
        for host in self._table.take_queued_hosts(free, excluded=frozenset(chosen)):
            update = self._update_of(host)
            if update is not None:
                chosen[host] = update

    def _add_members_not_alive(self, chosen: dict[str, MemberUpdate]) -> None:
        """Add the hosts that are not alive, because a new host presumes that all are alive."""
        for member in self._table:
            if len(chosen) >= UPDATES_PER_MESSAGE:
                return
            if member.state != MemberState.ALIVE:
                chosen.setdefault(member.host, member.as_update())

    def _add_round_robin_member(self, chosen: dict[str, MemberUpdate]) -> None:
        member: Member | None = self._table.next_round_robin()
        if member is not None:
            chosen[member.host] = member.as_update()

    def _update_of(self, host: str) -> MemberUpdate | None:
        if host == self._host:
            return self.own_update()
        member = self._table.get(host)
        return None if member is None else member.as_update()
