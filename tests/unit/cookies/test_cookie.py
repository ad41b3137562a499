"""Guards against cookies that differ between hosts or that identify servers of another service."""

import pytest

from redwingswitch._internal.decisions.cookies.cookie import NO_COOKIE, flow_cookie
from redwingswitch._internal.decisions.cookies.server_directory import ServerDirectory
from redwingswitch._internal.models.cookie_flows import RouteAddress
from tests.lib.cookie_flows import JOB_BOARD, PHOTOS, SIGN_OFFS, server


@pytest.mark.parametrize(
    ("server_id", "destination", "expected"),
    [
        ("i-1", JOB_BOARD, 4_033_837_113),
        ("i-2", JOB_BOARD, 3_553_839_698),
        ("i-1", PHOTOS, 2_592_500_068),
    ],
)
def test_a_cookie_is_the_same_on_every_host_and_in_every_release(
    server_id: str, destination: RouteAddress, expected: int
) -> None:
    assert flow_cookie(server_id=server_id, destination=destination) == expected


def test_no_server_has_the_value_of_an_opening_packet() -> None:
    cookies = {flow_cookie(server_id=f"i-{n}", destination=JOB_BOARD) for n in range(10_000)}
    assert NO_COOKIE not in cookies
    assert max(cookies) < 1 << 32


@pytest.mark.parametrize("other", [PHOTOS, SIGN_OFFS])
def test_a_cookie_copied_to_another_destination_names_no_server(other: RouteAddress) -> None:
    directory = ServerDirectory()
    directory.put(server("i-1"), 0)
    cookie = flow_cookie(server_id="i-1", destination=JOB_BOARD)
    known = directory.by_cookie(cookie, JOB_BOARD)
    assert known is not None
    assert known.server.server_id == "i-1"
    assert directory.by_cookie(cookie, other) is None


def test_a_cookie_collision_is_resolved_alike_on_every_host(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The smallest id wins, regardless of the order in which a host learned of the servers.
    monkeypatch.setattr(
        "redwingswitch._internal.decisions.cookies.server_directory.flow_cookie",
        lambda *, server_id, destination: 7,
    )
    for order in (("i-1", "i-2"), ("i-2", "i-1")):
        directory = ServerDirectory()
        for server_id in order:
            directory.put(server(server_id), 0)
        known = directory.by_cookie(7, JOB_BOARD)
        assert known is not None
        assert known.server.server_id == "i-1"
