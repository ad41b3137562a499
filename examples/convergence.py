"""One host reads a new revision from the store; the others fetch it from their peers."""

from __future__ import annotations

import random

from redwingswitch.coordination import models
from redwingswitch.coordination.convergence import (
    RevisionConvergence,
    heartbeat_digest,
    new_document,
)

HOSTS = ("host-1", "host-2", "host-3", "host-4")
DOMAIN = "north"
STORED = models.StoreDocumentArrived(new_document(revision=2, text="limit = 20"), version=9)
HEARTBEAT_MS = 300
END_MS = 5_000


class Group:
    """Carries messages between hosts, and calls to a store with one lease, at once."""

    def __init__(self) -> None:
        self.hosts = {
            host: RevisionConvergence(
                host=host, failure_domain=DOMAIN, random_source=random.Random(host)
            )
            for host in HOSTS
        }
        self.lease_holder = ""

    def perform(self, name: str, actions: list[models.Action], now_ms: int) -> None:
        """Carry out the actions of one host."""
        host = self.hosts[name]
        for action in actions:
            if isinstance(action, models.SendToPeer):
                answers = self.hosts[action.host].on_message(name, action.message, now_ms)
                self.perform(action.host, answers, now_ms)
            elif isinstance(action, models.AcquireLease):
                self.lease_holder = self.lease_holder or name
                granted = models.LeaseGranted(
                    lease_id=1, fencing_version=5, asked_ms=action.asked_ms
                )
                if self.lease_holder == name:
                    self.perform(name, host.on_lease_granted(granted, now_ms), now_ms)
                else:
                    self.perform(name, host.on_lease_refused(now_ms), now_ms)
            elif isinstance(action, models.WatchStore) and action.watching:
                self.perform(name, host.on_store_document(STORED, now_ms), now_ms)
            elif isinstance(action, models.ApplyDocument):
                print(f"{now_ms} ms: {name} applies revision {host.revision()}")


def main() -> None:
    """Start four empty hosts and wait until all hold the stored revision."""
    group = Group()
    alive, digest = models.MemberState.ALIVE, models.HostDigest()
    rows = [models.MemberView(host, DOMAIN, 1, alive, digest) for host in HOSTS]
    for name, host in group.hosts.items():
        group.perform(name, host.set_members(models.MembershipView(tuple(rows)), 0), 0)
    for now_ms in range(0, END_MS, 10):
        for name, host in group.hosts.items():
            deadline_ms = host.next_deadline_ms()
            if deadline_ms is not None and deadline_ms <= now_ms:
                group.perform(name, host.on_timer(now_ms), now_ms)
            if now_ms % HEARTBEAT_MS == 0:
                digest = heartbeat_digest(host)
                for peer in [each for each in HOSTS if each != name]:
                    actions = group.hosts[peer].on_digest(name, digest, now_ms)
                    group.perform(peer, actions, now_ms)
    revisions = sorted({host.revision() for host in group.hosts.values()})
    print(f"revisions in force: {revisions}")


if __name__ == "__main__":
    main()
