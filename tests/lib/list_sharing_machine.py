"""A failure domain whose hosts share a list, and its store, for state machines."""

import random
from collections import deque
from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from redwingswitch._internal.decisions.list_sharing import feed
from redwingswitch._internal.models.list_readers import NO_READER
from redwingswitch._internal.models.store_revisions import era_of, make_revision, number_of

AGE_LIMIT_MS = 2_000
TICK_MS = 250
READ_INTERVAL_MS = 1_000
REQUEST_INTERVAL_MS = 500
MAX_LATENCY_TICKS = 6
HOST_COUNT = 4
SERVER_COUNT = 5
MAX_HISTORY_CHANGES = 12
# Fewer than the servers, so that a batch of changes takes several updates, and lost ones leave a
# gap.
MAX_CHANGES_PER_UPDATE = 2


class Store:
    """The listed servers, the history of changes, and the reader's record."""

    def __init__(self) -> None:
        self.revision = 1
        self.listed: frozenset[int] = frozenset(range(SERVER_COUNT))
        # Pairs of a time and the servers listed from then on.
        self.past: list[tuple[int, frozenset[int]]] = [(-10_000, self.listed)]
        self.out_of_service: frozenset[str] = frozenset()
        self.past_domains: list[tuple[int, frozenset[str]]] = [(-10_000, self.out_of_service)]
        self.history: deque[tuple[int, int]] = deque(maxlen=MAX_HISTORY_CHANGES)
        # The changes from this revision on are in the history, except those that it dropped.
        self.begin = 0
        self.record = NO_READER
        self.take_copy()

    def take_copy(self) -> None:
        """Keep a copy of the present state."""
        self.copy = (self.revision, self.listed, self.record, self.out_of_service)

    def restore(self, now_ms: int) -> None:
        """Return to the copy; the revisions after it are given out again, in the next era."""
        revision, self.listed, record, self.out_of_service = self.copy
        self.revision = make_revision(era=era_of(self.revision) + 1, number=number_of(revision))
        # A record has the era of the response that contains it.
        era, number = era_of(self.revision), number_of(record.revision)
        self.record = NO_READER
        if record != NO_READER:
            self.record = record._replace(revision=make_revision(era=era, number=number))
        self.past.append((now_ms, self.listed))
        self.past_domains.append((now_ms, self.out_of_service))
        self.history.clear()
        self.begin = self.revision

    def toggle(self, number: int, now_ms: int) -> None:
        self.revision += 1
        self.listed = self.listed ^ {number}
        self.past.append((now_ms, self.listed))
        self.history.append((self.revision, number))

    def toggle_domain(self, domain: str, now_ms: int) -> None:
        self.revision += 1
        self.out_of_service = self.out_of_service ^ {domain}
        self.past_domains.append((now_ms, self.out_of_service))


class ListMachine(RuleBasedStateMachine):
    """Faults of hosts and of the store that do not depend on how hosts read their list.

    A machine calls ``begin`` and sets ``hosts`` in its first step.
    """

    hosts: list[Any]

    def begin(self, store: Store) -> None:
        """Set the state that all machines have."""
        self.now_ms = 0
        self.store: Any = store
        self.incarnations = iter(range(1, 10_000))
        self.random = random.Random(7)
        self.loses_datagrams = False
        self.max_latency_ticks = MAX_LATENCY_TICKS
        self.revisions: dict[int, int] = {}
        self.changes_per_update = feed.MAX_CHANGES_PER_UPDATE
        feed.MAX_CHANGES_PER_UPDATE = MAX_CHANGES_PER_UPDATE

    def check_recovery(self) -> None:
        """End all faults and check what then holds."""
        raise NotImplementedError

    def teardown(self) -> None:
        if not hasattr(self, "hosts"):
            return
        try:
            self.check_recovery()
        finally:
            feed.MAX_CHANGES_PER_UPDATE = self.changes_per_update

    @rule(number=st.integers(0, SERVER_COUNT - 1))
    def toggle_a_server(self, number: int) -> None:
        self.store.toggle(number, self.now_ms)

    @rule()
    def take_a_copy_of_the_store(self) -> None:
        self.store.take_copy()

    @rule()
    def restore_the_store(self) -> None:
        self.store.restore(self.now_ms)

    @rule(number=st.integers(0, HOST_COUNT - 1))
    def pause_or_resume(self, number: int) -> None:
        self.hosts[number].is_paused = not self.hosts[number].is_paused

    @rule(number=st.integers(0, HOST_COUNT - 1), cut=st.booleans())
    def cut_or_restore_peer_path(self, number: int, cut: bool) -> None:
        self.hosts[number].reaches_peers = not cut

    @rule(loses=st.booleans())
    def lose_half_of_the_datagrams(self, loses: bool) -> None:
        self.loses_datagrams = loses

    @invariant()
    def known_revisions_never_fall(self) -> None:
        for host in self.hosts:
            known = self.revisions.get(host.local.incarnation, 0)
            assert host.sharing.revision >= known
            self.revisions[host.local.incarnation] = host.sharing.revision
