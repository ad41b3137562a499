"""Models of the hosts that read the list of backend servers on behalf of their failure domains."""

from __future__ import annotations

from typing import NamedTuple


class ListReader(NamedTuple):
    """The host that reads the list for its failure domain, and where it accepts requests."""

    host: str
    address: str
    port: int
    incarnation: int


class Neighbour(NamedTuple):
    """Where another host of the failure domain accepts messages about the list."""

    address: str
    port: int


class RegisteredReader(NamedTuple):
    """A reader and the revision of its record in the store; None and 0 without a record."""

    reader: ListReader | None = None
    revision: int = 0


class DomainReader(NamedTuple):
    """The record of the reader of a failure domain."""

    failure_domain: str
    registered: RegisteredReader


NO_READER = RegisteredReader()
