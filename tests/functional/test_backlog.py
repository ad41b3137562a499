"""Guards against a host that asks again and again for more changes than one response may have."""

from typing import Any

import logbook
import msgspec
import pytest

from redwingswitch._internal.exceptions import ResponseTooLargeError
from redwingswitch._internal.models.list_sharing import ListSharingRole
from redwingswitch._internal.platform.standins.documents import (
    StandinRoute,
    build_configuration,
    build_server_entry,
)
from redwingswitch._internal.platform.standins.site import DESTINATION, SteeringSite
from redwingswitch._internal.platform.standins.store import LOOPBACK, PlatformStoreStandin
from redwingswitch._internal.platform.store import PlatformStore
from tests.functional.test_steering_daemon import start_site
from tests.lib.loops import run, wait_until

BODY_BYTES = 256 * 1_024
# Each body takes 4/3 of its bytes in base64, and one response at most 16 MB.
LARGEST_BACKLOG = 45
WHOLE_LIST = {"Prefix": ""}


def padded(document: dict[str, Any]) -> bytes:
    """Return a document of ``BODY_BYTES`` bytes."""
    value = json_bytes({**document, "Padding": ""})
    return json_bytes({**document, "Padding": "#" * (BODY_BYTES - len(value))})


def json_bytes(document: dict[str, Any]) -> bytes:
    return msgspec.json.encode(document)


def configuration(version: int) -> bytes:
    route = StandinRoute(*DESTINATION, "job-board")
    return padded(build_configuration(version=version, routes=[route]))


@pytest.mark.parametrize(
    ("versions", "is_read"),
    [
        pytest.param(25, True, id="every 0.08 s for 2 s"),
        pytest.param(12, True, id="every 0.33 s for 4 s"),
        pytest.param(LARGEST_BACKLOG, True, id="largest"),
        pytest.param(LARGEST_BACKLOG + 1, False, id="one more"),
    ],
)
def test_the_largest_backlog_that_one_watch_brings(versions: int, is_read: bool) -> None:
    async def scenario() -> None:
        standin = PlatformStoreStandin()
        standin.start()
        store = PlatformStore(
            address=LOOPBACK, port=standin.port, timeout_ms=60_000, failure_domain="huon"
        )
        try:
            for version in range(1, versions + 1):
                value = configuration(version)
                assert len(value) == BODY_BYTES
                standin.put("op/config", value)
            if is_read:
                found = await store.read_changes(after_revision=1, wait_ms=0)
                assert found.routes is not None
                assert found.routes.version == versions
                return
            with pytest.raises(ResponseTooLargeError):
                await store.read_changes(after_revision=1, wait_ms=0)
            # The changes of servers and the newest routes are read apart then.
            assert (await store.read_server_changes(after_revision=1)).revision == versions + 1
            routes = (await store.read_routes()).routes
            assert routes is not None
            assert routes.version == versions
        finally:
            store.close()
            await standin.close()

    run(scenario())


def count_whole_lists(site: SteeringSite) -> int:
    return sum(
        path == "/v1/kv-range" and query == WHOLE_LIST
        for path, query in zip(site.store.calls, site.store.queries, strict=True)
    )


@pytest.mark.parametrize("versions", [LARGEST_BACKLOG, LARGEST_BACKLOG + 1])
def test_a_host_catches_up_with_many_versions_of_the_routes(versions: int) -> None:
    async def scenario() -> None:
        async with SteeringSite() as site:
            host = await start_site(site, 1, 2)
            await wait_until(lambda: host.daemon.list_role is ListSharingRole.SERVING)
            before = count_whole_lists(site)
            for version in range(2, versions + 2):
                site.store.put("op/config", configuration(version))
            site.list_server(site.servers["i-00000001"], state="draining")
            await wait_until(lambda: host.daemon.routes_version == versions + 1)
            await wait_until(
                lambda: host.daemon.servers_for_new_flows("job-board") == ["i-00000002"]
            )
            assert count_whole_lists(site) == before

    run(scenario())


def test_a_host_reads_the_whole_list_once_when_the_changes_of_servers_are_too_many() -> None:
    # The host asked for the changes of servers again and again until the store discarded them.
    async def scenario() -> None:
        async with SteeringSite() as site:
            host = await start_site(site, 1, 2)
            await wait_until(lambda: host.daemon.list_role is ListSharingRole.SERVING)
            before = count_whole_lists(site)
            leaving = site.servers["i-00000001"]
            for number in range(LARGEST_BACKLOG + 1):
                entry = build_server_entry(
                    service="job-board",
                    address=f"127.0.0.1:{leaving.port}",
                    state="draining",
                    sequence=1_000 + number,
                )
                site.store.put(f"servers/{leaving.name}", padded(entry))
            await wait_until(
                lambda: host.daemon.servers_for_new_flows("job-board") == ["i-00000002"]
            )
            site.list_server(site.servers["i-00000002"], service="photos")
            await wait_until(lambda: host.daemon.servers_for_new_flows("photos") != [])
            assert count_whole_lists(site) == before + 1
            assert sum("history lost" in r.message for r in handler.records) == 1
            assert host.daemon.is_store_reachable

    with logbook.TestHandler() as handler:
        run(scenario())
