"""Apply a configuration file by a compare-and-swap, repeated until its outcome is known."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

from redwingswitch._internal.configuration.apply_verification import verify_written_revision
from redwingswitch._internal.configuration.declared_changes import check_declared_changes
from redwingswitch._internal.configuration.differences import Difference, diff_configurations
from redwingswitch._internal.configuration.document import (
    CONFIGURATION_KEY,
    contains_apply_id,
    decode_document,
    encode_document,
    make_document,
    text_digest,
)
from redwingswitch._internal.configuration.fleet import (
    admin_endpoints,
    digests_of_highest_revision,
    highest_revision,
)
from redwingswitch._internal.configuration.history import archive_document
from redwingswitch._internal.configuration.parse import parse_configuration
from redwingswitch._internal.exceptions import (
    ConfigurationConflictError,
    FleetUnreachableError,
    InvalidInputGroup,
    StoreBehindFleetError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from redwingswitch._internal.models.configuration import Configuration, Document
from redwingswitch._internal.models.status import FleetStatus, HostStatus
from redwingswitch._internal.ports import (
    ConfigStore,
    FleetStatusSource,
    KeyPrecondition,
    StoredValue,
)

MAX_WRITE_ATTEMPTS = 5
WRITE_RETRY_DELAY_MS = 500
MAX_SUMMARY_CHARACTERS = 400
MAX_LISTED_HOSTS = 4


class ApplyRequest(NamedTuple):
    """An operator's request to plan or apply a file.

    ``hosts`` are admin endpoints; if empty, the declared ones are used. ``without_hosts`` continues
    even if no entry host answers. ``after`` is the revision that the file is based on; None skips
    this check.
    """

    text: str
    file: str
    operator: str
    apply_id: str
    applied_at: str
    hosts: tuple[str, ...] = ()
    without_hosts: bool = False
    after: int | None = None


class Plan(NamedTuple):
    """A checked file, the state that it was compared with, and the differences."""

    configuration: Configuration
    accepted: Document | None
    stored: StoredValue | None
    fleet_status: FleetStatus
    differences: tuple[Difference, ...]

    @property
    def unchanged(self) -> bool:
        """True when the accepted document has this text already and the fleet does not diverge."""
        accepted = self.accepted
        return (
            accepted is not None
            and accepted["digest"] == self.configuration.digest
            and not fleet_diverges(accepted, self.fleet_status.statuses)
        )


class ApplyResult(NamedTuple):
    """An accepted document.

    ``written`` is false when the accepted document had the same text already. ``superseded_by`` is
    a later document that another operator wrote before this outcome was known.
    """

    document: Document
    written: bool
    superseded_by: Document | None = None


def fleet_diverges(accepted: Document | None, statuses: Sequence[HostStatus]) -> bool:
    """Return whether hosts have a later revision than the store, or the same with another text."""
    highest_reported = highest_revision(statuses)
    stored_revision = 0 if accepted is None else accepted["revision"]
    if highest_reported != stored_revision:
        return highest_reported > stored_revision
    return accepted is not None and not digests_of_highest_revision(statuses) <= {
        accepted["digest"]
    }


async def plan(request: ApplyRequest, *, store: ConfigStore, fleet: FleetStatusSource) -> Plan:
    """Check the file and compare it with the store and the fleet; raise if it cannot be applied."""
    configuration = parse_configuration(
        text=request.text, file=request.file, revision=0, digest=text_digest(request.text)
    )
    stored = await store.get(CONFIGURATION_KEY)
    accepted = None if stored is None else decode_document(stored.value)
    accepted_configuration = None if accepted is None else parse_accepted_document(accepted)
    _check_base_revision(request, accepted, configuration)
    endpoints = request.hosts or admin_endpoints(accepted_configuration or configuration)
    fleet_status = await fleet.read(endpoints)
    _check_fleet(request, accepted, fleet_status)
    differences = diff_configurations(before=accepted_configuration, after=configuration)
    if not _is_already_accepted(configuration, accepted, fleet_status):
        check_declared_changes(
            text=request.text,
            file=request.file,
            configuration=configuration,
            differences=differences,
        )
    return Plan(
        configuration=configuration,
        accepted=accepted,
        stored=stored,
        fleet_status=fleet_status,
        differences=differences,
    )


async def apply(
    request: ApplyRequest,
    planned: Plan,
    *,
    store: ConfigStore,
    fleet: FleetStatusSource,
    sleep_ms: Callable[[int], Awaitable[None]],
) -> ApplyResult:
    """Write the planned file as the next revision, and return only when it is accepted.

    Raise ConfigurationConflictError when another file was accepted first, StoreUnavailableError
    when nothing was changed, and StoreOutcomeUnknownError when the store did not confirm whether
    the write succeeded. ``sleep_ms`` sleeps for a number of milliseconds.
    """
    if planned.unchanged and planned.accepted is not None:
        return ApplyResult(document=planned.accepted, written=False)
    document = make_document(
        text=request.text,
        revision=_next_revision(planned),
        apply_id=request.apply_id,
        operator=request.operator,
        previous=planned.accepted,
        applied_at=request.applied_at,
        summary=summarize_differences(planned),
    )
    # Raises for a document above the size limit, before anything is written.
    encode_document(document)
    if planned.accepted is not None:
        await archive_document(store, planned.accepted)
    result = await _write_until_confirmed(document, planned, store, sleep_ms)
    if result.superseded_by is not None:
        return result
    superseded_by = await verify_written_revision(
        document,
        store=store,
        fleet_status=await fleet.read(_status_endpoints(request, planned)),
        predecessor=planned.stored,
    )
    return result._replace(superseded_by=superseded_by)


def parse_accepted_document(document: Document) -> Configuration | None:
    """Return the configuration of a document, or None if this version finds it invalid."""
    try:
        return parse_configuration(
            text=document["text"],
            file=f"revision {document['revision']}",
            revision=document["revision"],
            digest=document["digest"],
        )
    except InvalidInputGroup:
        return None


def summarize_differences(planned: Plan) -> str:
    """Return the differences and their declared reasons, truncated for the history."""
    if planned.accepted is None:
        return "first file"
    reasons = {(c.action, c.target): c.reason for c in planned.configuration.changes}
    parts = []
    for difference in planned.differences:
        reason = reasons.get((difference.action.value, difference.target), "")
        parts.append(f"{difference.action} {difference.target}" + (f": {reason}" if reason else ""))
    text = "; ".join(parts) or "no difference in effect"
    if len(text) <= MAX_SUMMARY_CHARACTERS:
        return text
    return f"{text[: MAX_SUMMARY_CHARACTERS - 3]}..."


def _status_endpoints(request: ApplyRequest, planned: Plan) -> tuple[str, ...]:
    accepted = None if planned.accepted is None else parse_accepted_document(planned.accepted)
    return request.hosts or admin_endpoints(accepted or planned.configuration)


def _check_base_revision(
    request: ApplyRequest, accepted: Document | None, configuration: Configuration
) -> None:
    """Raise ConfigurationConflictError for a new file that is not based on the accepted one."""
    stored_revision = 0 if accepted is None else accepted["revision"]
    if request.after in (None, stored_revision):
        return
    if accepted is None:
        raise ConfigurationConflictError(
            f"the store holds no file, not revision {request.after}; nothing was changed"
        )
    if accepted["digest"] != configuration.digest:
        raise ConfigurationConflictError(_conflict_message(accepted, configuration))


def _check_fleet(
    request: ApplyRequest, accepted: Document | None, fleet_status: FleetStatus
) -> None:
    if not fleet_status.statuses:
        _check_unreachable_fleet(request, accepted, fleet_status)
        return
    if not fleet_diverges(accepted, fleet_status.statuses):
        return
    # Hosts report only the digest of their file, so the differences from it cannot be shown and a
    # new file could revert accepted changes. Only a file that the store or the fleet has is safe.
    known_digests = set(digests_of_highest_revision(fleet_status.statuses))
    if accepted is not None and accepted["revision"] == highest_revision(fleet_status.statuses):
        known_digests.add(accepted["digest"])
    if text_digest(request.text) not in known_digests:
        raise StoreBehindFleetError(_store_behind_message(accepted, fleet_status.statuses))


def _check_unreachable_fleet(
    request: ApplyRequest, accepted: Document | None, fleet_status: FleetStatus
) -> None:
    if accepted is not None and not request.without_hosts:
        queried = ", ".join(fleet_status.silent_endpoints[:MAX_LISTED_HOSTS])
        raise FleetUnreachableError(
            f"no entry host answered (asked {queried}), so a later revision may be in force; name "
            "reachable hosts with --hosts, or pass --without-hosts if the store is up to date"
        )


def _is_already_accepted(
    configuration: Configuration, accepted: Document | None, fleet_status: FleetStatus
) -> bool:
    """Return whether the file was accepted before.

    The ``[[changes]]`` of such a file need no check: they describe its differences from its own
    predecessor, which need not be the file that the store has now.
    """
    if accepted is not None and accepted["digest"] == configuration.digest:
        return True
    # When the fleet diverges from the store, _check_fleet has already raised an error for a new
    # file, so this one was accepted before.
    return fleet_diverges(accepted, fleet_status.statuses)


def _store_behind_message(accepted: Document | None, statuses: Sequence[HostStatus]) -> str:
    highest = highest_revision(statuses)
    holders = [status["host"] for status in statuses if status["revision"] == highest] or [
        "entry hosts"
    ]
    stored = "no revision" if accepted is None else f"revision {accepted['revision']}"
    ellipsis = ", ..." if len(holders) > MAX_LISTED_HOSTS else ""
    listed = ", ".join(holders[:MAX_LISTED_HOSTS]) + ellipsis
    return (
        f"the store holds {stored} and {listed} hold revision {highest} with another text; "
        "nothing was changed; wait until the hosts have restored it to the store and try again, or "
        f"apply the file of revision {highest}"
    )


def _next_revision(planned: Plan) -> int:
    stored_revision = 0 if planned.accepted is None else planned.accepted["revision"]
    return max(stored_revision, highest_revision(planned.fleet_status.statuses)) + 1


async def _write_until_confirmed(
    document: Document,
    planned: Plan,
    store: ConfigStore,
    sleep_ms: Callable[[int], Awaitable[None]],
) -> ApplyResult:
    """Repeat the write until its outcome is known.

    An unconfirmed write can still reach the store later. Repeating the same write with the same
    precondition is safe: at most one of the two can succeed, and both have the same apply id.
    """
    expected = [_precondition(planned.stored)]
    value = encode_document(document)
    last_error: Exception | None = None
    for attempt in range(MAX_WRITE_ATTEMPTS):
        if attempt:
            await sleep_ms(WRITE_RETRY_DELAY_MS)
        try:
            version = await store.compare_and_swap(
                key=CONFIGURATION_KEY, value=value, expected=expected
            )
            if version is not None:
                return ApplyResult(document=document, written=True)
            return await _resolve_failed_swap(document, planned, store)
        except StoreOutcomeUnknownError as error:
            last_error = error
        except StoreUnavailableError as error:
            # Without an earlier unconfirmed attempt, it is certain that nothing was written.
            if last_error is None:
                raise
            last_error = error
    raise StoreOutcomeUnknownError(
        f"{last_error}; revision {document['revision']} (apply id {document['apply_id']}) may or "
        "may not be accepted; check the history, or apply the same file again"
    )


def _precondition(stored: StoredValue | None) -> KeyPrecondition:
    """Return the precondition of the write.

    The value is compared as well, because a store that was restored from a snapshot assigns the
    same versions again, and another document could have the version that was read.
    """
    if stored is None:
        return KeyPrecondition(key=CONFIGURATION_KEY, version=0)
    return KeyPrecondition(key=CONFIGURATION_KEY, version=stored.version, value=stored.value)


async def _resolve_failed_swap(
    document: Document, planned: Plan, store: ConfigStore
) -> ApplyResult:
    """Determine whether an earlier attempt of this write or another operator changed the key."""
    stored = await store.get(CONFIGURATION_KEY)
    current = None if stored is None else decode_document(stored.value)
    if current is None:
        raise ConfigurationConflictError(
            "the configuration was removed from the store meanwhile; nothing was changed"
        )
    if current["apply_id"] == document["apply_id"]:
        return ApplyResult(document=document, written=True)
    if contains_apply_id(current, document["apply_id"]):
        return ApplyResult(document=document, written=True, superseded_by=current)
    raise ConfigurationConflictError(_conflict_message(current, planned.configuration))


def _conflict_message(accepted: Document, configuration: Configuration) -> str:
    accepted_configuration = parse_accepted_document(accepted)
    differences = diff_configurations(before=accepted_configuration, after=configuration)
    listed = "".join(f"\n  {difference}" for difference in differences) or "\n  (none)"
    return (
        f"{accepted['operator']} was first: revision {accepted['revision']} (apply id "
        f"{accepted['apply_id']}) is accepted; nothing of this file was applied; "
        f"it differs from the accepted one by:{listed}"
    )
