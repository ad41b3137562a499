"""The set of failure domains out of service, from the keys that operators write."""

from __future__ import annotations

from collections.abc import Iterable

from logbook import Logger

from redwingswitch._internal.models.server_checks import find_domain_problem
from redwingswitch._internal.models.server_list import NONE_OUT_OF_SERVICE, OutOfService
from redwingswitch._internal.platform.entries import OUT_OF_SERVICE_PREFIX
from redwingswitch._internal.platform.store_items import Item

log = Logger("store")

# Many times the failure domains of a deployment. A set of this size with the longest names takes
# 8 KB of each message between hosts.
MAX_OUT_OF_SERVICE_DOMAINS = 64


class OutOfServiceKeys:
    """The newest known set. A watch reports single keys; they change this set to the whole one."""

    def __init__(self) -> None:
        self._known = NONE_OUT_OF_SERVICE

    def is_incomplete_after(self, revision: int) -> bool:
        """Return whether a watch from ``revision`` cannot complete the known set.

        Another host may have sent the list up to this revision, so that the watch leaves a gap. Of
        a full set, the watch does not tell which left-out key takes the place of a removed one.
        """
        known = self._known
        return known.revision < revision or len(known.domains) >= MAX_OUT_OF_SERVICE_DOMAINS

    def replace(self, items: Iterable[Item], revision: int) -> OutOfService:
        """Return the set that all keys make up; they are known up to ``revision``."""
        self._known = _change_domains(NONE_OUT_OF_SERVICE, items, revision)
        return self._known

    def update(self, items: Iterable[Item], revision: int) -> OutOfService:
        """Return the set after the changes of a watch, which are known up to ``revision``."""
        self._known = _change_domains(self._known, items, revision)
        return self._known


def _change_domains(known: OutOfService, items: Iterable[Item], revision: int) -> OutOfService:
    """Return a set after the items that are newer than it, known up to ``revision``."""
    domains = set(known.domains)
    for item in items:
        if not item.key.startswith(OUT_OF_SERVICE_PREFIX) or item.revision <= known.revision:
            continue
        domain = item.key.removeprefix(OUT_OF_SERVICE_PREFIX)
        if item.deleted:
            domains.discard(domain)
        elif problem := find_domain_problem(domain):
            log.warning(f"key without effect key={item.key!r} reason={problem}")
        elif domain not in domains and len(domains) >= MAX_OUT_OF_SERVICE_DOMAINS:
            log.error(f"key without effect key={item.key!r} reason=too many domains")
        else:
            domains.add(domain)
    return OutOfService(frozenset(domains), max(revision, known.revision))
