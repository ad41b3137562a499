"""The sections of an operators' file while it is checked."""

from __future__ import annotations

from typing import Generic, NamedTuple, TypeVar

from redwingswitch._internal.models.configuration import (
    BackendServer,
    DeclaredChange,
    DeclaredEntryHost,
    FailureDomain,
    Service,
)
from redwingswitch._internal.utils.toml_reader import TableReader

T = TypeVar("T")


class Located(NamedTuple, Generic[T]):
    """A parsed entry and the table it came from, for findings with a place."""

    value: T
    table: TableReader


class Sections(NamedTuple):
    """All entries of one file; faulty fields hold placeholders, faulty names are empty."""

    root: TableReader
    failure_domains: tuple[Located[FailureDomain], ...]
    entry_hosts: tuple[Located[DeclaredEntryHost], ...]
    services: tuple[Located[Service], ...]
    backend_servers: tuple[Located[BackendServer], ...]
    changes: tuple[Located[DeclaredChange], ...]
