"""The platform's key-value service over the JSON gateway of the etcd v3 API.

A version is the ``mod_revision`` of a key. Unlike etcd's ``version`` of a key, it does not
restart at 1 when a key is deleted and created again. Fencing relies on this: a write that requires
the version of a lease's key fails after another host has acquired the lease.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from contextlib import suppress

from redwingswitch._internal.exceptions import StoreOutcomeUnknownError, StoreUnavailableError
from redwingswitch._internal.network.etcd_gateway import (
    MS_PER_S,
    CallEffect,
    EmptyResponse,
    EtcdGateway,
    KeepAliveResponse,
    LeaseResponse,
    RangeResponse,
    TransactionResponse,
    to_base64,
    to_stored_value,
)
from redwingswitch._internal.network.etcd_watch import WATCH_DURATION_MS, EtcdWatch
from redwingswitch._internal.ports import GrantedLease, KeyPrecondition, StoredValue

ABSENT_VERSION = 0


class HttpConfigStore:
    """A ``ConfigStore`` behind one or more HTTP endpoints."""

    def __init__(
        self,
        *,
        endpoints: Sequence[str],
        timeout_ms: int,
        watch_duration_ms: int = WATCH_DURATION_MS,
    ) -> None:
        self._gateway = EtcdGateway(endpoints=endpoints, timeout_ms=timeout_ms)
        self._watch = EtcdWatch(connect_timeout_ms=timeout_ms, duration_ms=watch_duration_ms)

    def close(self) -> None:
        """Release the clients' resources."""
        self._gateway.close()
        self._watch.close()

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of ``key``, or None when it does not exist."""
        stored, _ = await self._read_key(key)
        return stored

    async def compare_and_swap(
        self, *, key: str, value: bytes, expected: Sequence[KeyPrecondition]
    ) -> int | None:
        """Write ``value`` if every precondition holds; return the new version, or None if not."""
        return await self._conditional_put(key=key, value=value, expected=expected, lease_id=0)

    async def acquire_lease(self, *, key: str, holder: str, ttl_ms: int) -> GrantedLease | None:
        """Create ``key`` under a new lease; return None while another holder has it.

        The key is read before a lease is granted, because a host that cannot have it retries often.
        """
        if await self.get(key) is not None:
            return None
        lease_id = await self._grant_lease(ttl_ms)
        expected = [KeyPrecondition(key=key, version=ABSENT_VERSION)]
        try:
            version = await self._conditional_put(
                key=key, value=holder.encode(), expected=expected, lease_id=lease_id
            )
        except StoreOutcomeUnknownError as error:
            # The write cannot succeed after the revocation, because it names the revoked lease.
            if await self._try_revoke_lease(lease_id):
                raise StoreUnavailableError(f"{error}; the lease was revoked") from None
            raise
        if version is None:
            await self._try_revoke_lease(lease_id)
            return None
        return GrantedLease(lease_id=lease_id, key_version=version)

    async def renew_lease(self, lease: GrantedLease) -> bool:
        """Extend a lease; return False when it has expired."""
        response = await self._gateway.call(
            "lease/keepalive",
            {"ID": str(lease.lease_id)},
            response_type=KeepAliveResponse,
            effect=CallEffect.IDEMPOTENT_WRITE,
        )
        return response.get("result", LeaseResponse()).get("TTL", 0) > 0

    async def release_lease(self, lease: GrantedLease) -> None:
        """Release a lease, which also deletes its key."""
        await self._revoke_lease(lease.lease_id)

    async def watch(
        self, key: str, *, after_version: int, on_value: Callable[[StoredValue], None]
    ) -> None:
        """Call ``on_value`` for each value with another version until cancelled or a failure.

        The key is read before each watch. This finds a value that was written between two watches,
        and that of a store that was restored, whose version is not a later one. It may even be the
        known version, given out again to another value.
        """
        known: StoredValue | None = None

        def deliver(value: StoredValue) -> None:
            nonlocal known
            known = value
            on_value(value)

        while True:
            stored, store_revision = await self._read_key(key)
            if stored is not None:
                if known is None and stored.version == after_version:
                    known = stored
                elif stored != known:
                    deliver(stored)
            await self._watch.run(
                endpoint=self._gateway.preferred_endpoint,
                key=key,
                start_revision=store_revision + 1,
                on_value=deliver,
            )

    async def _read_key(self, key: str) -> tuple[StoredValue | None, int]:
        """Return the value of ``key`` and the store's revision at that time."""
        response = await self._gateway.call(
            "kv/range",
            {"key": to_base64(key.encode())},
            response_type=RangeResponse,
            effect=CallEffect.READ,
        )
        key_values = response.get("kvs", [])
        revision = response.get("header", {}).get("revision", 0)
        return (to_stored_value(key_values[0]) if key_values else None), revision

    async def _conditional_put(
        self, *, key: str, value: bytes, expected: Sequence[KeyPrecondition], lease_id: int
    ) -> int | None:
        put = {"key": to_base64(key.encode()), "value": to_base64(value), "lease": str(lease_id)}
        body = {
            "compare": [
                comparison
                for precondition in expected
                for comparison in _encode_comparisons(precondition)
            ],
            "success": [{"request_put": put}],
        }
        response = await self._gateway.call(
            "kv/txn",
            body,
            response_type=TransactionResponse,
            effect=CallEffect.NON_IDEMPOTENT_WRITE,
        )
        if not response.get("succeeded", False):
            return None
        return response.get("header", {}).get("revision", 0)

    async def _grant_lease(self, ttl_ms: int) -> int:
        body = {"TTL": str(math.ceil(ttl_ms / MS_PER_S)), "ID": "0"}
        try:
            response = await self._gateway.call(
                "lease/grant",
                body,
                response_type=LeaseResponse,
                effect=CallEffect.NON_IDEMPOTENT_WRITE,
            )
        except StoreOutcomeUnknownError as error:
            # A lease without a key has no effect and expires by itself.
            raise StoreUnavailableError(str(error)) from None
        return response.get("ID", 0)

    async def _try_revoke_lease(self, lease_id: int) -> bool:
        """Try to revoke a lease; return whether the store confirmed it."""
        with suppress(StoreUnavailableError, StoreOutcomeUnknownError):
            await self._revoke_lease(lease_id)
            return True
        return False

    async def _revoke_lease(self, lease_id: int) -> None:
        await self._gateway.call(
            "lease/revoke",
            {"ID": str(lease_id)},
            response_type=EmptyResponse,
            effect=CallEffect.IDEMPOTENT_WRITE,
            not_found=EmptyResponse(),
        )


def _encode_comparisons(precondition: KeyPrecondition) -> list[dict[str, str]]:
    key = to_base64(precondition.key.encode())
    version = str(precondition.version)
    comparisons = [{"key": key, "target": "MOD", "result": "EQUAL", "mod_revision": version}]
    if precondition.value is not None:
        value = to_base64(precondition.value)
        comparisons.append({"key": key, "target": "VALUE", "result": "EQUAL", "value": value})
    return comparisons
