"""Size limits of the digest, the summary of its status that a host sends in each heartbeat."""

from __future__ import annotations

from collections.abc import Iterable

from redwingswitch._internal.models.members import HostDigest, NeededRevision, WaitEstimate

MAX_DIGEST_ENTRIES = 64
MAX_REVISION_DIGEST_CHARACTERS = 16
OTHER_SERVICES_ID = 0


def bound_digest(digest: HostDigest) -> HostDigest:
    """Return ``digest`` cut to the limits of the wire format.

    A needed revision is the oldest one whose lookup table the host's flow records still need.
    Needed revisions beyond the limit are merged into one entry for ``OTHER_SERVICES_ID`` with the
    lowest of their revisions: peers may keep a table for longer, but never drop it too early. The
    shortest waits are kept, because only a short wait attracts requests from other hosts.
    """
    return digest._replace(
        revision_digest=digest.revision_digest[:MAX_REVISION_DIGEST_CHARACTERS],
        needed_revisions=_bound_needed_revisions(digest.needed_revisions),
        wait_estimates=_shortest_waits(digest.wait_estimates),
        ejected_servers=digest.ejected_servers[:MAX_DIGEST_ENTRIES],
    )


def expand_digest(digest: HostDigest, service_ids: Iterable[int]) -> HostDigest:
    """Replace the entry for ``OTHER_SERVICES_ID`` with one for each service without an entry."""
    merged = [
        entry.revision for entry in digest.needed_revisions if entry.service_id == OTHER_SERVICES_ID
    ]
    if not merged:
        return digest
    named = tuple(
        entry for entry in digest.needed_revisions if entry.service_id != OTHER_SERVICES_ID
    )
    known = {entry.service_id for entry in named}
    others = (NeededRevision(each, min(merged)) for each in service_ids if each not in known)
    return digest._replace(needed_revisions=named + tuple(others))


def digests_match(left: str, right: str) -> bool:
    """Compare two document digests, either of which may be truncated for the wire."""
    length = min(len(left), len(right))
    return left[:length] == right[:length]


def _bound_needed_revisions(needed: tuple[NeededRevision, ...]) -> tuple[NeededRevision, ...]:
    if len(needed) <= MAX_DIGEST_ENTRIES:
        return needed
    # Keeps the entries that other hosts wait for. Of the rest, the newest revisions are merged, so
    # that the lowest merged revision is as high as possible.
    ordered = sorted(
        needed, key=lambda entry: (not (entry.pending or entry.records_needed), entry.revision)
    )
    kept, merged = ordered[: MAX_DIGEST_ENTRIES - 1], ordered[MAX_DIGEST_ENTRIES - 1 :]
    lowest = min((entry.revision for entry in merged if entry.revision), default=0)
    return (*kept, NeededRevision(OTHER_SERVICES_ID, lowest))


def _shortest_waits(waits: tuple[WaitEstimate, ...]) -> tuple[WaitEstimate, ...]:
    if len(waits) <= MAX_DIGEST_ENTRIES:
        return waits
    return tuple(sorted(waits, key=lambda entry: entry.wait_ms)[:MAX_DIGEST_ENTRIES])
