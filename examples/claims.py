"""Two hosts claim the same ids at the same time; at most one holds each."""

from __future__ import annotations

import random
from collections import Counter

from redwingswitch.coordination.claims import (
    Claimant,
    ClaimHostSets,
    ClaimReply,
    ClaimRequest,
    ClaimState,
    WitnessRegister,
)

DOMAINS = {"host-1": "north", "host-2": "south", "host-3": "west", "host-4": "west"}
RIVALS = ("host-1", "host-2")
IDS = [number.to_bytes(16, "big") for number in range(100)]
DEADLINE_MS = 5_000
LOSS = 0.1


class Host:
    """A host that is both a witness and a claimant."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.host_sets = ClaimHostSets(host=name)
        self.host_sets.declare(revision=1, hosts=DOMAINS, now_ms=0)
        self.witness = WitnessRegister(host=name, abstain_until_ms=0)
        self.claimant = Claimant(
            host=name,
            incarnation=1,
            host_sets=self.host_sets,
            random_source=random.Random(name),
        )


def ask(sender: Host, witness: Host, request: ClaimRequest) -> ClaimReply:
    """Return a witness's reply."""
    return witness.witness.on_claim(sender.name, 1, request, witness.host_sets, 0)


def main() -> None:
    """Deliver the claims of both rivals in random order, some of them lost."""
    hosts = {name: Host(name) for name in DOMAINS}
    source = random.Random(3)
    waiting = []
    for name in RIVALS:
        for each in IDS:
            sent = hosts[name].claimant.begin(each, DEADLINE_MS, 0) or []
            waiting += [(name, action) for action in sent]
    source.shuffle(waiting)
    for name, action in waiting:
        if source.random() < LOSS or not isinstance(action.message, ClaimRequest):
            continue
        reply = ask(hosts[name], hosts[action.host], action.message)
        hosts[name].claimant.on_reply(action.host, reply, 0)
    held = Counter(
        each
        for name in RIVALS
        for each in IDS
        if hosts[name].claimant.state(each) is ClaimState.HELD
    )
    for name in RIVALS:
        states = Counter(hosts[name].claimant.state(each) for each in IDS)
        print(f"{name}: " + ", ".join(f"{states[s]} {s.name.lower()}" for s in ClaimState))
    print(f"ids held twice: {sum(count > 1 for count in held.values())}")


if __name__ == "__main__":
    main()
