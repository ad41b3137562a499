"""Group membership and failure detection."""

from __future__ import annotations

from collections.abc import Mapping

from redwingswitch._internal.decisions.flows.bucket_owners import REFUTATION_BITS
from redwingswitch._internal.decisions.members.membership import Membership
from redwingswitch._internal.models.members import MembershipView, MemberState, Seed
from redwingswitch._internal.ports import RandomSource

__all__ = [
    "MemberState",
    "Membership",
    "MembershipView",
    "create_membership",
    "new_incarnation",
    "set_peers",
]


def create_membership(
    *,
    host: str,
    failure_domain: str,
    incarnation: int,
    peers: Mapping[str, str],
    random_source: RandomSource,
    now_ms: int,
) -> Membership:
    """Return the membership of ``host``; ``peers`` maps host names to their failure domains."""
    membership = Membership(
        host=host,
        failure_domain=failure_domain,
        incarnation=incarnation,
        random_source=random_source,
    )
    set_peers(membership, peers, now_ms)
    return membership


def set_peers(membership: Membership, peers: Mapping[str, str], now_ms: int) -> None:
    """Replace the listed hosts; an unlisted host is removed an hour after it was declared dead."""
    seeds = [Seed(host, failure_domain) for host, failure_domain in peers.items()]
    membership.set_seeds(seeds, now_ms)


def new_incarnation(*, wall_clock_ms: int, random_source: RandomSource) -> int:
    """Return an incarnation for a new process: wall-clock milliseconds, then 16 random bits."""
    return wall_clock_ms << REFUTATION_BITS | random_source.getrandbits(REFUTATION_BITS)
