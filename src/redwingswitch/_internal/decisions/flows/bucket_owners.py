"""The entry hosts that own and replicate the flow records of each bucket.

The owner of a bucket chooses the servers of its displaced flows, those that the lookup tables alone
do not determine. The replica, the next host in the ranking, keeps copies of the records.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from redwingswitch._internal.decisions.hashing import rendezvous_rank
from redwingswitch._internal.models.members import MembershipView, MemberState

# Not derived from the table size, so that hosts with different histories agree on the owners.
OWNER_BUCKET_COUNT = 2003
MAX_RANKED_HOSTS = 4
MAX_CACHED_RANKINGS = 65_536
# This long after an ownership change, the former owner's records have arrived or been queried.
OWNERSHIP_SETTLING_MS = 10_000
# The bits of an incarnation above these hold the start time of the process; the lower bits count
# its refutations.
REFUTATION_BITS = 16


class OwnerRanking:
    """Rank the hosts of a fixed set for each bucket, given their failure domains."""

    def __init__(self, *, hosts: Mapping[str, str]) -> None:
        self.hosts = dict(hosts)
        self._by_domain: dict[str, list[str]] = {}
        for host, domain in hosts.items():
            self._by_domain.setdefault(domain, []).append(host)
        self._cache: dict[tuple[int, int, str], tuple[str, ...]] = {}

    def rank(self, service_id: int, flow_hash: int, near: str) -> tuple[str, ...]:
        """Return the top-ranked hosts for a flow, those in the failure domain ``near`` first."""
        key = (service_id, flow_hash % OWNER_BUCKET_COUNT, near)
        ranked = self._cache.get(key)
        if ranked is None:
            ranked = self._compute(key)
        return ranked

    def _compute(self, key: tuple[int, int, str]) -> tuple[str, ...]:
        service_id, bucket, near = key
        weight_key = service_id.to_bytes(4, "big") + bucket.to_bytes(4, "big")
        local = self._by_domain.get(near, [])
        ranked = rendezvous_rank(weight_key, local)
        if len(ranked) < MAX_RANKED_HOSTS:
            others = (host for host, domain in self.hosts.items() if domain != near)
            ranked += rendezvous_rank(weight_key, others)
        if len(self._cache) >= MAX_CACHED_RANKINGS:
            self._cache.clear()
        self._cache[key] = result = tuple(ranked[:MAX_RANKED_HOSTS])
        return result


class BucketOwners:
    """Track the owners of buckets across membership changes."""

    def __init__(self, *, host: str, failure_domain: str) -> None:
        self._host = host
        self._failure_domain = failure_domain
        self._leaving = False
        self.ranking = OwnerRanking(hosts={host: failure_domain})
        self.prior_ranking = self.ranking
        self.suspected: frozenset[str] = frozenset()
        self.reachable: frozenset[str] = frozenset({host})
        self._start_times: dict[str, int] = {}
        self._changed_until_ms: dict[str, int] = {}
        self._changed_ranking = OwnerRanking(hosts={})
        self._completed_until_ms: dict[tuple[int, str], int] = {}

    def leave(self, now_ms: int) -> None:
        """Exclude the local host from the owners."""
        self._leaving = True
        hosts = {h: d for h, d in self.ranking.hosts.items() if h != self._host}
        self._replace_ranking(hosts, now_ms)

    def set_view(self, view: MembershipView, now_ms: int) -> bool:
        """Apply a membership view; return whether the set of owners changed."""
        hosts = {member.host: member.failure_domain for member in view.serving()}
        hosts[self._host] = self._failure_domain
        if self._leaving:
            del hosts[self._host]
        self.suspected = frozenset(
            m.host
            for m in view.members
            if m.state is MemberState.SUSPECTED and m.host != self._host
        )
        self.reachable = frozenset(
            m.host for m in view.members if m.state is not MemberState.DEAD
        ) | {self._host}
        restarted = self._restarted(view)
        if restarted & self.ranking.hosts.keys():
            # A restarted host has lost its records. Its removal from the current ranking makes it
            # count as newly joined, so that its former replicas hand the records over.
            kept = {h: d for h, d in self.ranking.hosts.items() if h not in restarted}
            self.ranking = OwnerRanking(hosts=kept)
            self._forget_hand_overs(restarted)
        if hosts == self.ranking.hosts:
            return False
        self._replace_ranking(hosts, now_ms)
        return True

    def _restarted(self, view: MembershipView) -> set[str]:
        """Return the hosts whose process was restarted since the last view."""
        start_times = {m.host: m.incarnation >> REFUTATION_BITS for m in view.members}
        restarted = {
            host
            for host, start in start_times.items()
            if start > self._start_times.get(host, start) and host != self._host
        }
        self._start_times = start_times
        return restarted

    def _forget_hand_overs(self, hosts: Collection[str]) -> None:
        """Forget the ownership changes and hand-overs of ``hosts``."""
        for host in hosts:
            self._changed_until_ms.pop(host, None)
        for key in [k for k in self._completed_until_ms if k[1] in hosts]:
            del self._completed_until_ms[key]

    def _replace_ranking(self, hosts: Mapping[str, str], now_ms: int) -> None:
        self.prior_ranking = self.ranking
        self.ranking = OwnerRanking(hosts=hosts)
        added = hosts.keys() - self.prior_ranking.hosts.keys()
        left = (self.prior_ranking.hosts.keys() - hosts.keys()) & self.reachable
        for host in (added | left) - {self._host}:
            self._changed_until_ms[host] = now_ms + OWNERSHIP_SETTLING_MS
        known = self._changed_until_ms.keys() | {key[1] for key in self._completed_until_ms}
        self._forget_hand_overs(known - self.reachable)
        self._update_changed_ranking()

    def _update_changed_ranking(self) -> None:
        """Rank the hosts that joined or left recently, to find the former owner of a bucket."""
        domains = self.prior_ranking.hosts | self.ranking.hosts
        changed = {host: domains.get(host, "") for host in self._changed_until_ms}
        if changed != self._changed_ranking.hosts:
            self._changed_ranking = OwnerRanking(hosts=changed)

    def note_concurrent_owner(self, host: str, now_ms: int) -> None:
        """Record that another host chose servers in a bucket owned by the local host."""
        self._changed_until_ms[host] = now_ms + OWNERSHIP_SETTLING_MS
        self._update_changed_ranking()
        for key in [k for k in self._completed_until_ms if k[1] == host]:
            del self._completed_until_ms[key]

    def note_hand_over_complete(self, service_id: int, host: str, now_ms: int) -> None:
        """Record that a former owner has handed over all its records of a service."""
        self._completed_until_ms[service_id, host] = now_ms + OWNERSHIP_SETTLING_MS

    def expire(self, now_ms: int) -> None:
        """Forget ownership changes and hand-overs older than ``OWNERSHIP_SETTLING_MS``."""
        changed, completed = self._changed_until_ms, self._completed_until_ms
        for host in [h for h, until_ms in changed.items() if until_ms <= now_ms]:
            del changed[host]
        for key in [k for k, until_ms in completed.items() if until_ms <= now_ms]:
            del completed[key]
        self._update_changed_ranking()

    def former_holders(
        self, service_id: int, flow_hash: int, near: str, now_ms: int
    ) -> tuple[str, ...]:
        """Return the former owner and replica that may have a record that the owner lacks."""
        if not self._changed_until_ms:
            return ()
        former = self._changed_ranking.rank(service_id, flow_hash, near)[:2]
        return tuple(
            host
            for host in former
            if self._changed_until_ms.get(host, now_ms) > now_ms
            and host not in self.suspected
            and (service_id, host) not in self._completed_until_ms
        )
