"""Records of the readers of other failure domains, as the store has them."""

from __future__ import annotations

from collections.abc import Iterable

from redwingswitch._internal.models.list_readers import DomainReader, ListReader, RegisteredReader

# A bound for a store with unexpected keys; deployments have 3 to 5 failure domains.
MAX_DOMAINS = 16


class OtherReaders:
    """The latest known record of each failure domain's reader."""

    def __init__(self) -> None:
        self._registered: dict[str, RegisteredReader] = {}

    def apply(self, records: Iterable[DomainReader]) -> None:
        """Apply records that were read; one that is older than the known one is ignored."""
        for domain, registered in records:
            known = self._registered.get(domain)
            if registered.reader is None and not registered.revision:
                self._registered.pop(domain, None)
            elif known is None:
                if len(self._registered) < MAX_DOMAINS:
                    self._registered[domain] = registered
            elif registered.revision >= known.revision:
                self._registered[domain] = registered

    def get(self, failure_domain: str) -> ListReader | None:
        """Return the reader of a failure domain, or None if none is known."""
        registered = self._registered.get(failure_domain)
        return None if registered is None else registered.reader

    def readers(self) -> list[ListReader]:
        """Return the known readers."""
        return [each.reader for each in self._registered.values() if each.reader is not None]
