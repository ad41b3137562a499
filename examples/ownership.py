"""Two hosts keep each record; when one leaves, the records move to a third one."""

from __future__ import annotations

import random

from redwingswitch.coordination.models import (
    Action,
    HostDigest,
    MembershipView,
    MemberState,
    MemberView,
    SendToPeer,
)
from redwingswitch.coordination.ownership import KEY_BITS, OwnedRecords

HOSTS = ("host-1", "host-2", "host-3")
KEYS = [index * 0x9E3779B97F4A7C15 % (1 << KEY_BITS) for index in range(1, 301)]


def view_of(states: dict[str, MemberState]) -> MembershipView:
    """Return a membership view, which a ``Membership`` would deliver."""
    rows = [MemberView(host, "north", 1, state, HostDigest()) for host, state in states.items()]
    return MembershipView(tuple(rows))


def new_hosts() -> dict[str, OwnedRecords]:
    """Return the records of each host, empty."""
    return {
        host: OwnedRecords(
            host=host,
            failure_domain="north",
            namespace="sessions",
            bound=1_000,
            idle_limit_ms=900_000,
            now_ms=0,
            random_source=random.Random(host),
        )
        for host in HOSTS
    }


def deliver(
    hosts: dict[str, OwnedRecords], sender: str, actions: list[Action], now_ms: int
) -> None:
    """Carry messages to their receivers at once."""
    for action in actions:
        if isinstance(action, SendToPeer):
            answers = hosts[action.host].on_message(sender, action.message, now_ms)
            deliver(hosts, action.host, answers, now_ms)


def main() -> None:
    """Record 300 keys, stop one host and look the keys up at their new owners."""
    hosts = new_hosts()
    all_alive = view_of(dict.fromkeys(HOSTS, MemberState.ALIVE))
    for name, records in hosts.items():
        deliver(hosts, name, records.set_members(all_alive, 0), 0)
    for value, key in enumerate(KEYS):
        owner = hosts["host-1"].holders(key)[0]
        hosts[owner].put(key, value, 0)
    for name, records in hosts.items():
        deliver(hosts, name, records.on_timer(200), 200)
    print("records: " + ", ".join(f"{name} {len(each)}" for name, each in hosts.items()))
    leaving = view_of({**dict.fromkeys(HOSTS, MemberState.ALIVE), "host-2": MemberState.LEAVING})
    deliver(hosts, "host-2", hosts["host-2"].begin_stop(300), 300)
    for name, records in hosts.items():
        deliver(hosts, name, records.set_members(leaving, 300), 300)
    print(f"hand-over of host-2 done: {hosts['host-2'].hand_over_done()}")
    owners = [hosts[hosts["host-1"].holders(key)[0]] for key in KEYS]
    found = sum(owner.get(KEYS[value]) == value for value, owner in enumerate(owners))
    print(f"found at the new owners: {found} of {len(KEYS)}")


if __name__ == "__main__":
    main()
