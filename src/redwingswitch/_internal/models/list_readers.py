"""Models of the hosts that read the list of backend servers for their failure domains."""

from __future__ import annotations

from typing import NamedTuple


class ListReader(NamedTuple):
    """The host that reads the list for its failure domain, and where it takes requests."""

    host: str
    address: str
    port: int
    incarnation: int


class RegisteredReader(NamedTuple):
    """A reader and the store's revision of its record; without a record both are empty."""

    reader: ListReader | None = None
    revision: int = 0


NO_READER = RegisteredReader()
