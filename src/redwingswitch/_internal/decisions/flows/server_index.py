"""Numbers for the current and former backend servers of one service."""

from __future__ import annotations

from collections.abc import Iterable

from redwingswitch._internal.models.configuration import BackendServer
from redwingswitch._internal.models.identifiers import wire_id


class ServerIndex:
    """Map the backend servers of a service to small integers, which stay valid until ``reset``."""

    def __init__(self) -> None:
        self.names: list[str] = []
        self.details: list[BackendServer] = []
        self.wire_ids: list[int] = []
        self._numbers: dict[str, int] = {}
        self._by_wire_id: dict[int, int] = {}

    def add(self, server: BackendServer) -> int:
        """Return the number of a server, and update the details of a known one."""
        number = self._numbers.get(server.name)
        if number is not None:
            self.details[number] = server
            return number
        number = len(self.names)
        self.names.append(server.name)
        self.details.append(server)
        self.wire_ids.append(wire_id(server.name))
        self._numbers[server.name] = number
        self._by_wire_id[self.wire_ids[number]] = number
        return number

    def number(self, name: str) -> int | None:
        """Return the number of a named server, or None."""
        return self._numbers.get(name)

    def by_wire_id(self, server_id: int) -> int | None:
        """Return the number of the server with a wire id, or None."""
        return self._by_wire_id.get(server_id)

    def reset(self, servers: Iterable[BackendServer]) -> None:
        """Discard all numbers and renumber ``servers`` from 0."""
        self.__init__()  # type: ignore[misc]
        for server in servers:
            self.add(server)
