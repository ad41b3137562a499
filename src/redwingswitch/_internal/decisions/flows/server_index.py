"""Small integers for the backend servers that one service has or had."""

from __future__ import annotations

from collections.abc import Iterable

from redwingswitch._internal.models.configuration import BackendServer
from redwingswitch._internal.models.identifiers import wire_id


class ServerIndex:
    """Number the backend servers of a service; a number keeps its meaning until ``reset``."""

    def __init__(self) -> None:
        self.names: list[str] = []
        self.details: list[BackendServer] = []
        self.wire_ids: list[int] = []
        self._numbers: dict[str, int] = {}
        self._by_wire_id: dict[int, int] = {}

    def add(self, server: BackendServer) -> int:
        """Return the number of a server; a known server takes the new details."""
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
        """Forget all numbers and number ``servers`` anew."""
        self.__init__()  # type: ignore[misc]
        for server in servers:
            self.add(server)
