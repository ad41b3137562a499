"""The configuration in force and the backend servers, from a file or the platform's store."""

from __future__ import annotations

from typing import NamedTuple

from redwingswitch._internal.models.cookie_flows import ListedServer
from redwingswitch._internal.platform.configuration_check.document import (
    OperatorsConfiguration,
    read_configuration,
)
from redwingswitch._internal.platform.entries import CONFIGURATION_KEY, OUT_OF_SERVICE_PREFIX
from redwingswitch._internal.platform.store import PlatformStore

OPERATORS_PREFIX = "op/"


class InForce(NamedTuple):
    """What the hosts use now.

    ``configuration`` is None without one. ``servers`` is empty if they are not known.
    ``out_of_service`` has the failure domains that get no new flow.
    """

    configuration: OperatorsConfiguration | None
    servers: tuple[ListedServer, ...] = ()
    out_of_service: frozenset[str] = frozenset()


async def read_store(*, address: str, port: int, timeout_ms: int) -> InForce:
    """Return what the store has; raise StoreUnavailableError or DecodeError if it cannot be read.

    Nothing is written.
    """
    store = PlatformStore(address=address, port=port, timeout_ms=timeout_ms, failure_domain="")
    try:
        values = await store.read_values(OPERATORS_PREFIX)
        listed = await store.read_all()
    finally:
        store.close()
    value = values.get(CONFIGURATION_KEY)
    return InForce(
        configuration=None if value is None else read_configuration(value),
        servers=tuple(change.server for change in listed.servers if change.server is not None),
        out_of_service=frozenset(
            key.removeprefix(OUT_OF_SERVICE_PREFIX)
            for key in values
            if key.startswith(OUT_OF_SERVICE_PREFIX)
        ),
    )
