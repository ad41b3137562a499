"""Guards against losing live servers in a list outage, and keeping stopped ones after it."""

import pytest

from redwingswitch._internal.decisions.cookies.cookie import flow_cookie
from redwingswitch._internal.decisions.cookies.server_directory import (
    GONE_SERVER_RETENTION_MS,
    LAPSED_ENTRY_GRACE_MS,
    MAX_GONE_SERVERS,
    ListPresence,
    ServerDirectory,
)
from redwingswitch._internal.models.configuration import ServerState
from redwingswitch._internal.models.server_list import ServerChange
from tests.lib.cookie_flows import JOB_BOARD, server


def listed(server_id: str, **fields: object) -> ServerChange:
    return ServerChange(server_id, server(server_id, **fields), is_listed=True)  # type: ignore[arg-type]


def directory_with(*server_ids: str) -> ServerDirectory:
    directory = ServerDirectory()
    directory.on_list_read(-LAPSED_ENTRY_GRACE_MS)
    directory.replace([listed(server_id) for server_id in server_ids], 0)
    return directory


def presence(directory: ServerDirectory, server_id: str, now_ms: int) -> ListPresence:
    known = directory.get(server_id)
    assert known is not None
    return known.presence(now_ms)


@pytest.mark.parametrize(
    ("state", "outage", "after_ms", "expected", "is_offered"),
    [
        # In an incident, the flows of a live server were reset because its entry was missing for
        # half a second while the store answered all hosts.
        pytest.param(
            ServerState.ACTIVE, False, 0, ListPresence.LAPSED, False, id="late with its report"
        ),
        pytest.param(
            ServerState.ACTIVE,
            False,
            LAPSED_ENTRY_GRACE_MS,
            ListPresence.GONE,
            False,
            id="missing for good",
        ),
        pytest.param(
            ServerState.DRAINING, False, 0, ListPresence.GONE, False, id="gone after draining"
        ),
        pytest.param(
            ServerState.ACTIVE, True, 0, ListPresence.LAPSED, True, id="just after an outage"
        ),
        pytest.param(
            ServerState.ACTIVE,
            True,
            LAPSED_ENTRY_GRACE_MS - 1,
            ListPresence.LAPSED,
            True,
            id="within the grace period after an outage",
        ),
        pytest.param(
            ServerState.ACTIVE,
            True,
            LAPSED_ENTRY_GRACE_MS,
            ListPresence.GONE,
            False,
            id="after the grace period",
        ),
        pytest.param(
            ServerState.DRAINING,
            True,
            0,
            ListPresence.LAPSED,
            True,
            id="draining, missing after an outage",
        ),
    ],
)
def test_presence_and_offers_of_a_missing_entry(
    state: ServerState, outage: bool, after_ms: int, expected: ListPresence, is_offered: bool
) -> None:
    directory = directory_with("i-1", "i-2")
    directory.put(server("i-1", state=state), 0)
    if outage:
        directory.on_list_lost()
    directory.on_list_read(1_000)
    directory.replace([listed("i-2")], 1_000)
    known = directory.get("i-1")
    assert known is not None
    assert known.presence(1_000 + after_ms) is expected
    assert known.may_be_offered(1_000 + after_ms) is is_offered
    assert presence(directory, "i-2", 1_000 + after_ms) is ListPresence.LISTED


def test_a_lapsed_entry_that_is_written_again_is_listed() -> None:
    directory = directory_with("i-1")
    directory.on_list_lost()
    directory.on_list_read(1_000)
    directory.replace([], 1_000)
    assert directory.update([listed("i-1")], 2_500) == ["i-1"]
    assert presence(directory, "i-1", 10_000) is ListPresence.LISTED


@pytest.mark.parametrize(
    ("change", "is_offered"),
    [
        pytest.param(listed("i-1"), True, id="the same entry"),
        pytest.param(listed("i-1", state=ServerState.DRAINING), False, id="draining"),
        pytest.param(ServerChange("i-1", None, is_listed=True), False, id="unreadable"),
        pytest.param(listed("i-1", service="photos"), False, id="another service"),
        pytest.param(listed("i-1", instance=2), True, id="started again under its id"),
    ],
)
def test_which_entries_are_offered_flows(change: ServerChange, is_offered: bool) -> None:
    directory = directory_with("i-1")
    assert [k.server.server_id for k in directory.active_servers("job-board")] == ["i-1"]
    directory.update([change], 10)
    assert bool(directory.active_servers("job-board")) is is_offered
    # The server's open flows are still steered in each case.
    cookie = flow_cookie(server_id="i-1", destination=JOB_BOARD)
    assert directory.by_cookie(cookie, JOB_BOARD) is not None


def test_an_unreadable_entry_of_an_unknown_server_names_no_server() -> None:
    directory = directory_with("i-1")
    directory.replace([listed("i-1"), ServerChange("i-9", None, is_listed=True)], 10)
    assert directory.get("i-9") is None
    assert directory.listed_count() == 1


def test_a_change_of_the_remaining_slow_start_alone_is_not_returned() -> None:
    directory = directory_with("i-1")
    assert directory.update([listed("i-1", slow_start_left_ms=500)], 10) == []
    assert directory.update([listed("i-1", slots=4)], 20) == ["i-1"]


def test_gone_servers_are_evicted_by_age_and_by_count() -> None:
    directory = ServerDirectory()
    for number in range(MAX_GONE_SERVERS + 10):
        directory.put(server(f"i-{number}"), 0)
        directory.remove(f"i-{number}", number)
    assert len(directory.known_servers()) == MAX_GONE_SERVERS
    assert directory.get("i-0") is None
    directory.put(server("i-1000000"), 0)
    directory.remove("i-1000000", MAX_GONE_SERVERS + 11 + GONE_SERVER_RETENTION_MS)
    assert list(directory.known_servers()) == ["i-1000000"]


@pytest.mark.parametrize("is_whole_list", [True, False])
@pytest.mark.parametrize(
    ("known_state", "is_absent", "change", "is_offered"),
    [
        # A restored store has the entry from before a server announced that it leaves; the server
        # got new flows again.
        pytest.param(
            ServerState.DRAINING, False, {"report_number": 3}, False, id="from before it leaves"
        ),
        pytest.param(
            ServerState.DRAINING, True, {"report_number": 3}, False, id="from before it left"
        ),
        pytest.param(ServerState.ACTIVE, False, {"report_number": 5}, True, id="a later report"),
        pytest.param(
            ServerState.ACTIVE, True, {"report_number": 4}, True, id="the same report, listed again"
        ),
        pytest.param(
            ServerState.DRAINING,
            True,
            {"report_number": 1, "instance": 2},
            True,
            id="the first report of its next start",
        ),
    ],
)
def test_an_earlier_report_of_a_server_reverts_nothing(
    known_state: ServerState,
    is_absent: bool,
    change: dict[str, int],
    is_offered: bool,
    is_whole_list: bool,
) -> None:
    directory = directory_with()
    directory.update([listed("i-1", state=known_state, report_number=4)], 0)
    if is_absent:
        directory.update([ServerChange("i-1", None, is_listed=False)], 0)
    change_list = [listed("i-1", **change)]
    if is_whole_list:
        directory.replace(change_list, 1)
    else:
        directory.update(change_list, 1)
    offered = [k for k in directory.active_servers("job-board") if k.may_be_offered(1)]
    assert bool(offered) is is_offered


def test_the_number_of_a_report_alone_is_no_change_and_is_remembered() -> None:
    directory = directory_with()
    assert directory.update([listed("i-1", report_number=4)], 0) == ["i-1"]
    assert directory.update([listed("i-1", report_number=9)], 0) == []
    leaving = listed("i-1", state=ServerState.DRAINING, report_number=8)
    assert directory.update([leaving], 0) == []
    assert [entry.server for entry in directory.listed_entries(0)] == [
        server("i-1", report_number=9)
    ]
