"""Statements about hosts that pings and acks carry, and the refutation of wrong ones."""

from __future__ import annotations

from collections.abc import Iterable

from redwingswitch._internal.decisions.members.member_table import Member, MemberTable
from redwingswitch._internal.models.members import MemberState, MemberUpdate

UPDATES_PER_MESSAGE = 6


class MemberGossip:
    """Chooses the statements for each message and defends the local host against wrong ones."""

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
        """Return what the local host states about itself."""
        state = MemberState.LEAVING if self.leaving else MemberState.ALIVE
        return MemberUpdate(self._host, self._failure_domain, self.incarnation, state)

    def introduce(self) -> None:
        """Pass the own statement on again, because there are members that may not know it."""
        self._table.pass_on(self._host)

    def begin_leaving(self) -> bool:
        """State from now on that the host is leaving; return False when it already does."""
        if self.leaving:
            return False
        self.leaving = True
        self._table.pass_on(self._host)
        return True

    def return_to_service(self) -> None:
        """Take back a leaving statement, which needs a higher incarnation."""
        self.leaving = False
        self._raise_incarnation(self.incarnation)

    def receive(self, sender: str, updates: Iterable[MemberUpdate], now_ms: int) -> None:
        """Take the statements of a message."""
        for update in updates:
            if update.host == self._host:
                self._defend(update)
            else:
                trusted = self._is_witness(sender, update)
                self._table.apply(update, now_ms, trusted=trusted)

    def updates_for(self, target: str, *, state_known: bool = False) -> tuple[MemberUpdate, ...]:
        """Return the statements for a message to ``target`` and count them as sent.

        A host that is not believed alive is told so first, so that it can refute. With
        ``state_known`` it is told in any case what is known of it.
        """
        member = self._table.get(target)
        chosen: dict[str, MemberUpdate] = {}
        if member is not None and member.claim is not None and member.disputed():
            chosen[target] = member.claim
        elif member is not None and (state_known or member.state != MemberState.ALIVE):
            chosen[target] = member.update()
        if self.leaving or member is None or not member.introduced():
            chosen[self._host] = self.own_update()
        self._add_queued(chosen)
        if member is None or not member.introduced():
            self._add_exceptions(chosen)
        if not chosen:
            self._add_next_in_turn(chosen)
        return tuple(chosen.values())

    def _is_witness(self, sender: str, update: MemberUpdate) -> bool:
        """Tell whether the sender's view of a host is as good as the local one.

        That holds for senders in the failure domain of the host or of the local host. Any other
        one may have been cut off from the host alone; after a partition each side would otherwise
        believe the other one's view of its own members.
        """
        member = self._table.get(sender)
        if member is None:
            return False
        return member.failure_domain in (update.failure_domain, self._failure_domain)

    def _defend(self, update: MemberUpdate) -> None:
        own = self.own_update()
        if (update.incarnation, update.state) > (own.incarnation, own.state):
            self.refutations += 1
            self._raise_incarnation(update.incarnation)

    def _raise_incarnation(self, stated: int) -> None:
        self.incarnation = stated + 1
        self._table.note_states_changed()
        self._table.pass_on(self._host)

    def _add_queued(self, chosen: dict[str, MemberUpdate]) -> None:
        free = UPDATES_PER_MESSAGE - len(chosen)
        for host in self._table.take_queued(free, excluded=frozenset(chosen)):
            update = self._update_of(host)
            if update is not None:
                chosen[host] = update

    def _add_exceptions(self, chosen: dict[str, MemberUpdate]) -> None:
        """Tell a newcomer which hosts are not alive, because it presumes that all are."""
        for member in self._table:
            if len(chosen) >= UPDATES_PER_MESSAGE:
                return
            if member.state != MemberState.ALIVE:
                chosen.setdefault(member.host, member.update())

    def _add_next_in_turn(self, chosen: dict[str, MemberUpdate]) -> None:
        member: Member | None = self._table.next_in_turn()
        if member is not None:
            chosen[member.host] = member.update()

    def _update_of(self, host: str) -> MemberUpdate | None:
        if host == self._host:
            return self.own_update()
        member = self._table.get(host)
        return None if member is None else member.update()
