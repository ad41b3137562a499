"""Parsed sections of a configuration file.

They are the input of the checks that compare entries, such as names that must be unique, references
between tables and ports in conflict; see ``check``.
"""

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
    """A parsed entry and its TOML table, which gives findings their location."""

    value: T
    table: TableReader


class Sections(NamedTuple):
    """All entries of one file; invalid fields have placeholders, invalid names are empty."""

    root: TableReader
    failure_domains: tuple[Located[FailureDomain], ...]
    entry_hosts: tuple[Located[DeclaredEntryHost], ...]
    services: tuple[Located[Service], ...]
    backend_servers: tuple[Located[BackendServer], ...]
    changes: tuple[Located[DeclaredChange], ...]
