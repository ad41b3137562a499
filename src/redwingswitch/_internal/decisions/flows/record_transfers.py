"""The records to send when the owners of buckets change."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from redwingswitch._internal.decisions.flows.bucket_owners import OWNER_BUCKET_COUNT, OwnerRanking
from redwingswitch._internal.decisions.flows.steered_service import SteeredService

HOLDERS_PER_KEY = 2

PreferredDomain = Callable[[int], str]


class Ownership:
    """The owner and replica of each flow, for one ranking and preferred failure domain."""

    def __init__(self, *, ranking: OwnerRanking, preferred_domain: PreferredDomain) -> None:
        self._ranking = ranking
        self._preferred_domain = preferred_domain

    def holders(self, service_id: int, flow_hash: int) -> tuple[str, ...]:
        """Return the owner and the replica of a flow."""
        return self._ranking.rank(service_id, flow_hash, self._preferred_domain(flow_hash))[
            :HOLDERS_PER_KEY
        ]


class RecordTransfers:
    """The records that the local host has to send, and the hosts whose ownership changes.

    Records are flow hashes by server id, for each host that they are sent to. ``new_owners`` take
    over buckets from the local host; it takes over buckets from ``former_owners``.
    """

    def __init__(self) -> None:
        self.to_owner: dict[str, dict[int, list[int]]] = {}
        self.to_replica: dict[str, dict[int, list[int]]] = {}
        self.new_owners: set[str] = set()
        self.former_owners: set[str] = set()
        self.any_owner_changed = False


def plan_record_transfers(
    *, service: SteeredService, host: str, before: Ownership, after: Ownership
) -> RecordTransfers:
    """Compare two ownerships and collect the records that the local host has to send.

    The former owner and the former replica both send records to a new holder. Hosts see membership
    changes in different orders, so neither can rely on the other to send them.
    """
    transfers = RecordTransfers()
    _collect_owner_changes(transfers, service, host, before, after)
    for number, hashes in service.records.hashes_by_value().items():
        server_id = service.tables.index.wire_ids[number]
        for flow_hash in hashes:
            if not service.differs_from_default(flow_hash, number):
                continue
            old = before.holders(service.wire_id, flow_hash)
            new = after.holders(service.wire_id, flow_hash)
            if old != new and host in old:
                _add_targets(transfers, old, new, server_id, flow_hash)
    return transfers


def _add_targets(
    transfers: RecordTransfers,
    old: tuple[str, ...],
    new: tuple[str, ...],
    server_id: int,
    flow_hash: int,
) -> None:
    for position, target in enumerate(new):
        if target not in old:
            group = transfers.to_owner if position == 0 else transfers.to_replica
            group.setdefault(target, {}).setdefault(server_id, []).append(flow_hash)


def _collect_owner_changes(
    transfers: RecordTransfers,
    service: SteeredService,
    host: str,
    before: Ownership,
    after: Ownership,
) -> None:
    for flow_hash in _displaced_flow_hashes(service):
        old = before.holders(service.wire_id, flow_hash)[:1]
        new = after.holders(service.wire_id, flow_hash)[:1]
        if old == new:
            continue
        transfers.any_owner_changed = True
        if old == (host,):
            transfers.new_owners.update(new)
        if new == (host,):
            transfers.former_owners.update(old)


def _displaced_flow_hashes(service: SteeredService) -> Iterator[int]:
    """Return a flow hash for each bucket that may contain displaced flows.

    Tables and owners both divide the flow hashes into buckets, which coincide only if there are
    equally many. Otherwise any bucket of the owners may contain displaced flows.
    """
    server_by_bucket = service.tables.server_by_bucket
    if len(server_by_bucket) == OWNER_BUCKET_COUNT:
        return (bucket for bucket, server in enumerate(server_by_bucket) if server is None)
    return iter(
        range(max(OWNER_BUCKET_COUNT, len(server_by_bucket)) if None in server_by_bucket else 0)
    )
