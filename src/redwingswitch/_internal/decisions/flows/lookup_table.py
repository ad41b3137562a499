"""One lookup table in the history of a service."""

from __future__ import annotations

from array import array

from redwingswitch._internal.models.configuration import ServerState, Service


class LookupTable:
    """A lookup table of a service; ``choices`` holds the server number of each bucket.

    The table serves for new flows once it is activated; ``activated_at_ms`` is None until then.
    """

    def __init__(
        self,
        *,
        revision: int,
        servers: tuple[str, ...],
        choices: array[int],
        activate_at_ms: int,
        activated_at_ms: int | None,
    ) -> None:
        # True for the first table of a process, which is assumed to be activated until a peer's
        # history states its activation.
        self.initial = False
        self.revision = revision
        self.servers = servers
        self.choices = choices
        self.activate_at_ms = activate_at_ms
        self.activated_at_ms = activated_at_ms

    def activates_in_ms(self, now_ms: int) -> int:
        """Return the time until the activation deadline, or 0 if the table is activated."""
        if self.activated_at_ms is not None:
            return 0
        return max(1, self.activate_at_ms - now_ms)

    def choice(self, flow_hash: int) -> int | None:
        """Return the server number for a flow, or None if the table has no servers."""
        size = len(self.choices)
        return self.choices[flow_hash % size] if size else None


def active_servers(service: Service) -> tuple[str, ...]:
    """Return the names of the servers that take new flows, sorted."""
    return tuple(sorted(s.name for s in service.backend_servers if s.state is ServerState.ACTIVE))


def merge_adjacent_duplicates(tables: list[LookupTable]) -> list[LookupTable]:
    """Merge adjacent tables with the same servers; the revision of the earlier one is kept."""
    kept: list[LookupTable] = []
    for table in tables:
        if kept and kept[-1].servers == table.servers:
            if kept[-1].activated_at_ms is None:
                kept[-1].activated_at_ms = table.activated_at_ms
            continue
        kept.append(table)
    return kept
