"""Tests of applying a file to a store that loses replies or is behind the fleet.

They guard against an apply that reports success wrongly, loses an accepted revision, or overwrites
a store that is damaged or older than the fleet.
"""

import pytest

from redwingswitch._internal.configuration.apply import ApplyRequest, plan
from redwingswitch._internal.configuration.document import (
    CONFIGURATION_KEY,
    decode_document,
    encode_document,
    text_digest,
)
from redwingswitch._internal.configuration.history import (
    MAX_HISTORY_DOCUMENTS,
    archive_document,
    read_history,
)
from redwingswitch._internal.exceptions import (
    ConfigurationConflictError,
    DecodeError,
    FleetUnreachableError,
    InvalidInputGroup,
    StoreBehindFleetError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from tests.lib.operator_files import VALID_FILE
from tests.lib.stepped_store import (
    Operator,
    SteppedFleet,
    SteppedStore,
    host_status,
    run_to_end,
)


def text_with(slots):
    return VALID_FILE.replace("report_port = 8401", f"report_port = 8401\nslots = {slots}", 1)


class Site:
    """A store and a fleet in which the first file is accepted and in force."""

    def __init__(self):
        self.store = SteppedStore()
        self.fleet = SteppedFleet()
        assert self.operator("first", VALID_FILE).finish().accepted.written
        self.update_fleet()

    def operator(self, name, text, **options):
        return Operator(name=name, text=text, store=self.store, fleet=self.fleet, **options)

    def document(self):
        return decode_document(self.store.entries[CONFIGURATION_KEY].value)

    def update_fleet(self):
        document = self.document()
        self.fleet.take("entry-1", document)

    def history(self):
        return [(d["revision"], d["operator"]) for d in run_to_end(read_history(self.store))]


# The fault of each write (the first one archives the predecessor), the expected error, and whether
# the file is accepted in the end.
FAULT_CASES = [
    ([], None, True),
    ([None, "lost_after"], None, True),
    ([None, "lost_before"], None, True),
    ([None, "late", "lost_before", "lost_after"], None, True),
    (["lost_after"], None, True),
    (["lost_before", "lost_after"], None, True),
    (["down"], StoreUnavailableError, False),
    (["lost_before"] * 3, StoreUnavailableError, False),
    ([None, "down"], StoreUnavailableError, False),
    ([None, "lost_before", *["down"] * 4], StoreOutcomeUnknownError, False),
    ([None, "lost_after", *["down"] * 4], StoreOutcomeUnknownError, True),
    ([None, *["lost_before"] * 5], StoreOutcomeUnknownError, False),
]


@pytest.mark.parametrize(("faults", "error", "in_effect"), FAULT_CASES)
def test_the_outcome_of_an_unconfirmed_write_is_resolved_before_it_is_reported(
    faults, error, in_effect
):
    site = Site()
    operator = site.operator("ann", text_with(3)).finish(faults)
    assert type(operator.error) is (error or type(None))
    assert (operator.accepted is not None) is (error is None)
    expected = [(2, "ann"), (1, "first")] if in_effect else [(1, "first")]
    assert site.history() == expected


def test_the_second_of_two_concurrent_applies_reports_the_accepted_revision():
    site = Site()
    ann, ben = site.operator("ann", text_with(3)), site.operator("ben", text_with(4))
    ann.advance(None)
    ben.finish()
    ann.finish()
    assert ben.accepted.document["revision"] == 2
    assert isinstance(ann.error, ConfigurationConflictError)
    for message in ("ben was first", "revision 2", "alter backend_servers.job-1 (slots 4 -> 3)"):
        assert message in str(ann.error)


@pytest.mark.parametrize(
    ("after", "text", "message"),
    [
        (1, text_with(3), None),
        (0, text_with(3), "first was first: revision 1"),
        (7, text_with(3), "slots 2 -> 3"),
        (0, VALID_FILE, None),
    ],
)
def test_a_file_made_from_another_revision_is_refused(after, text, message):
    operator = Site().operator("ann", text, after=after).finish()
    assert isinstance(operator.error, ConfigurationConflictError) is (message is not None)
    assert (message or "") in str(operator.error)


def test_an_accepted_file_stays_accepted_for_its_operator_after_a_successor():
    site = Site()
    ann = site.operator("ann", text_with(3))
    for fault in (None, None, None, "lost_after"):
        ann.advance(fault)
    site.update_fleet()
    assert site.operator("ben", text_with(4)).finish().accepted.document["revision"] == 3
    ann.finish()
    assert ann.accepted.document["revision"] == 2
    assert ann.accepted.superseded_by["operator"] == "ben"


def test_the_same_file_again_writes_nothing():
    site = Site()
    text = text_with(3) + '[[changes]]\naction = "alter"\ntarget = "backend_servers.job-1"\n'
    text += 'reason = "more"\n'
    assert site.operator("ann", text).finish().accepted.written
    again = site.operator("ben", text).finish()
    assert again.accepted.document["operator"] == "ann"
    assert not again.accepted.written
    assert site.document()["summary"] == "alter backend_servers.job-1: more"


# The revisions and texts that hosts report while the store has revision 1, the applied text, and
# the expected error.
FLEET_CASES = [
    ([(1, VALID_FILE)], text_with(3), None),
    ([(0, None)], text_with(3), None),
    ([(5, "older")], text_with(3), StoreBehindFleetError),
    ([(5, "older")], VALID_FILE, StoreBehindFleetError),
    ([(5, text_with(3))], text_with(3), None),
    ([(1, "another")], text_with(3), StoreBehindFleetError),
    ([(1, "another")], VALID_FILE, None),
    ([(1, VALID_FILE), (1, "another")], text_with(3), StoreBehindFleetError),
    ([(1, VALID_FILE), (5, text_with(3))], text_with(3), None),
    ([], text_with(3), FleetUnreachableError),
]


@pytest.mark.parametrize(("reported", "text", "error"), FLEET_CASES)
def test_a_store_behind_the_fleet_is_changed_only_when_that_is_safe(reported, text, error):
    site = Site()
    site.fleet.hosts = {
        f"entry-{n}": (r, text_digest(t) if t else "", "")
        for n, (r, t) in enumerate(reported, start=1)
    }
    site.fleet.reachable = bool(reported)
    before = dict(site.store.entries)
    operator = site.operator("ann", text).finish()
    assert type(operator.error) is (error or type(None))
    if error is None:
        assert site.document()["revision"] == max([1, *(r for r, _ in reported)]) + 1
    else:
        assert site.store.entries == before


@pytest.mark.parametrize(
    ("peer_revision", "error"), [(0, None), (1, None), (2, StoreBehindFleetError)]
)
def test_a_revision_reported_only_by_a_peer_counts(peer_revision, error):
    # entry-1 is behind entry-2, which does not answer itself.
    site = Site()
    lagging = host_status("entry-1", 0, "", [("entry-2", "alive", peer_revision)])
    site.fleet.read = SteppedFleet.with_reports(lagging)
    operator = site.operator("ann", text_with(3)).finish()
    assert type(operator.error) is (error or type(None))


def test_without_hosts_the_store_s_revision_counts():
    site = Site()
    site.fleet.reachable = False
    assert site.operator("ann", text_with(3), without_hosts=True).finish().accepted.written


INVALID_CASES = [
    (VALID_FILE.replace("443", "0"), InvalidInputGroup),
    (VALID_FILE + '[[changes]]\naction = "add"\ntarget = "services.x"\nreason = "r"\n', None),
]


@pytest.mark.parametrize(("text", "error"), INVALID_CASES)
def test_a_bad_file_changes_nothing(text, error):
    site = Site()
    before = dict(site.store.entries)
    operator = site.operator("ann", text).finish()
    assert isinstance(operator.error, error or InvalidInputGroup)
    assert site.store.entries == before


def test_a_damaged_document_is_reported_and_kept():
    site = Site()
    site.store.entries[CONFIGURATION_KEY] = site.store.entries[CONFIGURATION_KEY]._replace(
        value=b"damaged"
    )
    assert isinstance(site.operator("ann", text_with(3)).finish().error, DecodeError)


def test_a_store_that_is_down_is_reported_before_any_write():
    site = Site()
    request = ApplyRequest(VALID_FILE, "file.toml", "ann", "id", "")
    coroutine = plan(request, store=site.store, fleet=site.fleet)
    coroutine.send(None)
    with pytest.raises(StoreUnavailableError):
        coroutine.send("down")


def test_the_history_keeps_the_last_revisions_only():
    site = Site()
    for number in range(2, 42):
        site.operator(f"op-{number}", text_with(number)).finish()
        site.update_fleet()
    assert [revision for revision, _ in site.history()] == list(range(41, 9, -1))
    keys = [key for key in site.store.entries if key.startswith("redwingswitch/history/")]
    assert len(keys) == 32
    # An operator whose plan is out of date must not overwrite a later document with an older one.
    before = dict(site.store.entries)
    older = {**site.document(), "revision": 41 - MAX_HISTORY_DOCUMENTS}
    run_to_end(archive_document(site.store, older))
    assert site.store.entries == before


def test_another_document_under_the_version_that_was_read_is_not_replaced():
    # A store that was restored from a snapshot assigns the same versions to later writes again.
    site = Site()
    ann = site.operator("ann", text_with(3))
    ann.advance(None)
    ann.advance(None)
    assert ann.waits_for == "write"
    stored = site.store.entries[CONFIGURATION_KEY]
    other = encode_document({**site.document(), "operator": "ben", "apply_id": "other"})
    site.store.entries[CONFIGURATION_KEY] = stored._replace(value=other)
    ann.finish()
    assert isinstance(ann.error, ConfigurationConflictError)
