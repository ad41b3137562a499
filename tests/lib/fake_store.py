"""In-memory configuration store with leases, watches, outages and restored older content."""

from typing import NamedTuple

CONFIGURATION_KEY = "redwingswitch/configuration"


class Lease(NamedTuple):
    holder: str
    lease_id: int
    key_version: int
    expires_ms: int


class FakeStore:
    """Counts calls by kind; each started watch counts once."""

    def __init__(self) -> None:
        self.calls = {"read": 0, "watch": 0, "lease": 0, "write": 0}
        self.down = False
        self.document = None
        self.version = 0
        self.leases: dict[str, Lease] = {}
        self.watchers: set[str] = set()
        self.restores_to_lower_revision = 0
        self.refused_restores = 0
        self._last_version = 0

    def acquire(self, key: str, holder: str, ttl_ms: int, now_ms: int) -> Lease | None:
        self.calls["lease"] += 1
        current = self.leases.get(key)
        if current is not None and current.expires_ms > now_ms:
            if current.holder != holder:
                return None
            lease = current._replace(expires_ms=now_ms + ttl_ms)
        else:
            self._last_version += 1
            lease = Lease(holder, self._last_version, self._last_version, now_ms + ttl_ms)
        self.leases[key] = lease
        return lease

    def release(self, key: str, holder: str) -> None:
        self.calls["lease"] += 1
        if key in self.leases and self.leases[key].holder == holder:
            del self.leases[key]

    def accept(self, document) -> None:
        """Write a document as an operator does after reading the highest revision."""
        self.calls["write"] += 1
        self._store_document(document)

    def revert_to(self, document) -> None:
        """Replace the content with an older document, as when the store loses its latest writes.

        The content gets a new version, so that a write that expects an earlier version fails.
        """
        self._store_document(document)

    def restore(self, action, key: str, now_ms: int) -> bool:
        """Perform a RestoreDocument action; return False when a precondition fails."""
        self.calls["write"] += 1
        lease = self.leases.get(key)
        lease_version = lease.key_version if lease and lease.expires_ms > now_ms else 0
        if (self.version, lease_version) != (action.expected_version, action.fencing_version):
            self.refused_restores += 1
            return False
        self.restores_to_lower_revision += action.document["revision"] < self.revision()
        self._store_document(action.document)
        return True

    def revision(self) -> int:
        return 0 if self.document is None else self.document["revision"]

    def _store_document(self, document) -> None:
        self._last_version += 1
        self.document = document
        self.version = self._last_version
