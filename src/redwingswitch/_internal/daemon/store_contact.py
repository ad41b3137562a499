"""Whether the store answers this host, and when to call it again after a failure."""

from __future__ import annotations

from redwingswitch._internal.decisions.cookies.server_directory import ServerDirectory
from redwingswitch._internal.decisions.list_sharing.sharing import ListSharing
from redwingswitch._internal.decisions.retry import backoff_ms
from redwingswitch._internal.exceptions import StoreUnavailableError
from redwingswitch._internal.models.list_sharing import ListSharingRole
from redwingswitch._internal.ports import Clock, RandomSource
from redwingswitch._internal.utils.event_log import EventLog

MIN_RETRY_MS = 100
MAX_RETRY_MS = 1_000
# In an outage of the store, followers whose reader answers leave the frequent calls to it.
MIN_FOLLOWER_RETRY_MS = 1_000
MAX_FOLLOWER_RETRY_MS = 2_000


class StoreContact:
    """Counts failed calls in a row, and tells the directory of servers when an outage begins."""

    def __init__(
        self,
        *,
        sharing: ListSharing,
        directory: ServerDirectory,
        clock: Clock,
        age_clock: Clock,
        random_source: RandomSource,
    ) -> None:
        self._sharing = sharing
        self._directory = directory
        self._clock = clock
        self._age_clock = age_clock
        self._random = random_source
        self._event_log = EventLog(part="fleet", clock=clock)
        self._consecutive_failures = 0

    @property
    def is_lost(self) -> bool:
        """Return whether the latest call to the store failed."""
        return self._consecutive_failures > 0

    def on_response(self) -> None:
        """Record that the store answered a call."""
        if self._consecutive_failures:
            self._event_log.info("store regained", failures=self._consecutive_failures)
        self._consecutive_failures = 0

    def on_list_read(self) -> None:
        """Record a successful read of the list from the store."""
        self.on_response()
        self._directory.on_list_read(self._clock.now_ms())

    def on_failure(self, error: StoreUnavailableError, *, has_answering_reader: bool) -> int:
        """Record a failed call; return the delay until the next one."""
        self._consecutive_failures += 1
        if self._sharing.role(self._age_clock.now_ms()) is not ListSharingRole.FOLLOWING:
            self._sharing.on_store_lost()
            self._directory.on_list_lost()
        retry_delay_ms = backoff_ms(
            self._consecutive_failures,
            self._random,
            base_ms=MIN_FOLLOWER_RETRY_MS if has_answering_reader else MIN_RETRY_MS,
            limit_ms=MAX_FOLLOWER_RETRY_MS if has_answering_reader else MAX_RETRY_MS,
        )
        if self._consecutive_failures == 1:
            self._event_log.warning("store lost", reason=error, retry_ms=retry_delay_ms)
        return retry_delay_ms
