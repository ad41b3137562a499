"""Three hosts probe one another; one of them crashes and is found dead."""

from __future__ import annotations

import random

from redwingswitch.coordination.membership import Membership, MemberState, create_membership
from redwingswitch.coordination.models import Action, SendToPeer

DOMAINS = {"host-1": "north", "host-2": "north", "host-3": "south"}
CRASHED = "host-2"
CRASH_AT_MS = 2_000
END_MS = 10_000


def new_group() -> dict[str, Membership]:
    """Return one membership for each host; every one lists all the others."""
    return {
        host: create_membership(
            host=host,
            failure_domain=failure_domain,
            incarnation=1,
            peers=DOMAINS,
            random_source=random.Random(host),
            now_ms=0,
        )
        for host, failure_domain in DOMAINS.items()
    }


def deliver(hosts: dict[str, Membership], sender: str, actions: list[Action], now_ms: int) -> None:
    """Carry messages to their receivers at once; a crashed host receives nothing."""
    for action in actions:
        if isinstance(action, SendToPeer) and action.host in hosts:
            incarnation = hosts[sender].incarnation
            receiver = hosts[action.host]
            answers = receiver.on_message(sender, incarnation, action.message, now_ms)
            deliver(hosts, action.host, answers, now_ms)


def fire_timers(hosts: dict[str, Membership], now_ms: int) -> None:
    """Call every host whose deadline has passed."""
    for name, membership in hosts.items():
        deadline_ms = membership.next_deadline_ms()
        if deadline_ms is not None and deadline_ms <= now_ms:
            deliver(hosts, name, membership.on_timer(now_ms), now_ms)


def state_of(membership: Membership, host: str) -> MemberState:
    """Return the state of another host in a member's view."""
    member = membership.view().find(host)
    return MemberState.DEAD if member is None else member.state


def main() -> None:
    """Print each state that the survivors see the crashed host in."""
    hosts = new_group()
    seen = dict.fromkeys(DOMAINS, MemberState.ALIVE)
    for now_ms in range(0, END_MS, 10):
        if now_ms == CRASH_AT_MS:
            del hosts[CRASHED]
            print(f"{now_ms} ms: {CRASHED} crashes")
        fire_timers(hosts, now_ms)
        for name, membership in hosts.items():
            state = state_of(membership, CRASHED)
            if name != CRASHED and state != seen[name]:
                seen[name] = state
                print(f"{now_ms} ms: {name} sees {CRASHED} {state.name.lower()}")
    alive = [m.host for m in hosts["host-1"].view().serving()]
    print("still serving: " + ", ".join(alive))


if __name__ == "__main__":
    main()
