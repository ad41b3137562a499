"""A holder is paused past its lease; fencing refuses the write that it sends afterwards."""

from __future__ import annotations

import random

from redwingswitch.coordination.lease import AcquireLease, LeaseGranted, LeaseHolder
from redwingswitch.coordination.models import Action

KEY = "jobs/leader"
TTL_MS = 6_000
PAUSED_AT_MS = 3_000
WAKES_AT_MS = 13_000


class Store:
    """A key-value service with one lease key, whose version rises with each new holder."""

    def __init__(self) -> None:
        self.holder = ""
        self.version = 0
        self.ends_at_ms = 0

    def acquire(self, request: AcquireLease, now_ms: int) -> LeaseGranted | None:
        """Grant the lease, unless another holder has it."""
        if self.holder != request.holder and now_ms < self.ends_at_ms:
            return None
        if self.holder != request.holder:
            self.version += 1
        self.holder = request.holder
        self.ends_at_ms = now_ms + request.ttl_ms
        return LeaseGranted(lease_id=1, fencing_version=self.version, asked_ms=request.asked_ms)

    def write(self, fencing_version: int | None) -> bool:
        """Accept a write only from the holder that the lease key names now."""
        return fencing_version == self.version


def perform(store: Store, lease: LeaseHolder, actions: list[Action], now_ms: int) -> None:
    """Carry out the calls to the store."""
    for action in actions:
        if isinstance(action, AcquireLease):
            granted = store.acquire(action, now_ms)
            if granted is None:
                lease.on_refused(now_ms)
            else:
                lease.on_granted(granted, now_ms)


def main() -> None:
    """Let the first holder pause for ten seconds while a second one waits."""
    store = Store()
    first, second = (
        LeaseHolder(key=KEY, holder=name, ttl_ms=TTL_MS, random_source=random.Random(name))
        for name in ("first", "second")
    )
    first.want(0)
    second.want(0, delay_ms=500)
    for now_ms in range(0, WAKES_AT_MS, 100):
        if now_ms < PAUSED_AT_MS:
            perform(store, first, first.on_timer(now_ms), now_ms)
        perform(store, second, second.on_timer(now_ms), now_ms)
        if now_ms % 4_000 == 0:
            print(f"{now_ms} ms: {store.holder} holds version {store.version}")
    print(f"first wakes; it still counts itself as the holder: {first.holds(WAKES_AT_MS)}")
    print(f"write of first accepted: {store.write(first.fencing_version)}")
    print(f"write of second accepted: {store.write(second.fencing_version)}")


if __name__ == "__main__":
    main()
