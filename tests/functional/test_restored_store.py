"""Guards against hosts that take a restored store for the one that they knew.

The store returns from an older copy: changes since then are lost, and their revisions are given out
a second time, to other changes.
"""

import re

import logbook
import pytest

from redwingswitch._internal.decisions.cookies.readiness import Readiness
from redwingswitch._internal.models.list_sharing import ListSharingRole
from redwingswitch._internal.platform.standins.documents import StandinRoute
from redwingswitch._internal.platform.standins.site import (
    DESTINATION,
    HOST_ADDRESSES,
    RunningHost,
    SteeringSite,
)
from redwingswitch._internal.platform.standins.store import Fault
from tests.lib.loops import run, wait_until

READER_KEY = "redwingswitch/readers/huon"
NEW_ROUTE = StandinRoute("198.18.0.7", 80, "job-board")
ROUTE = StandinRoute(*DESTINATION, "job-board")


async def start_hosts(site: SteeringSite) -> list[RunningHost]:
    """Start a failure domain of three hosts and two servers; return the reader first."""
    site.configure()
    for number in (1, 2):
        await site.add_server(number)
    for number in range(len(HOST_ADDRESSES)):
        host = site.add_host(number)
        await wait_until(lambda host=host: host.daemon.readiness is Readiness.READY)
    await wait_until(lambda: has_one_reader(site))
    return sorted(site.hosts, key=lambda host: host.daemon.list_role is not ListSharingRole.SERVING)


def has_one_reader(site: SteeringSite) -> bool:
    roles = sorted(host.daemon.list_role for host in site.hosts)
    followers = [ListSharingRole.FOLLOWING] * (len(site.hosts) - 1)
    return roles == [*followers, ListSharingRole.SERVING]


def all_use_version(site: SteeringSite, version: int) -> bool:
    return all(host.daemon.routes_version == version for host in site.hosts)


async def put_in_force(site: SteeringSite, *routes: StandinRoute, version: int) -> None:
    """Write a configuration and wait until all hosts use it."""
    site.configure(*routes, version=version)
    await wait_until(lambda: all_use_version(site, version))


def all_offer(site: SteeringSite, *servers: str) -> bool:
    return all(
        host.daemon.servers_for_new_flows("job-board") == sorted(servers) for host in site.hosts
    )


@pytest.mark.parametrize("writes_after", [1, 2, 3])
def test_a_change_under_a_revision_that_was_given_out_before_reaches_all_hosts(
    writes_after: int,
) -> None:
    # A reader that waited for changes after the reused revision never got the change.
    async def scenario() -> None:
        async with SteeringSite() as site:
            await start_hosts(site)
            copy = site.store.take_copy()
            for version in (2, 3):
                site.configure(ROUTE, NEW_ROUTE, version=version)
            await wait_until(lambda: all_use_version(site, 3))
            site.store.restore(copy)
            for version in range(4, 4 + writes_after):
                site.configure(version=version)
            await wait_until(lambda: all_use_version(site, 3 + writes_after))
            await wait_until(lambda: has_one_reader(site))

    run(scenario())


@pytest.mark.parametrize("fault", [None, Fault.RESET, Fault.BUSY])
def test_a_server_that_leaves_after_a_restore_gets_no_flows(fault: Fault | None) -> None:
    async def scenario() -> None:
        async with SteeringSite() as site:
            await start_hosts(site)
            copy = site.store.take_copy()
            await put_in_force(site, version=2)
            site.store.fault = fault
            if fault is not None:
                await wait_until(lambda: not any(h.daemon.is_store_reachable for h in site.hosts))
            site.store.restore(copy)
            site.store.fault = None
            site.list_server(site.servers["i-00000001"], state="draining")
            await wait_until(lambda: all_offer(site, "i-00000002"))

    run(scenario())


def test_a_leaving_server_gets_no_flows_while_the_store_has_its_earlier_entry() -> None:
    # The server reports only once that it leaves; the copy has its entry from before.
    async def scenario() -> None:
        async with SteeringSite() as site:
            await start_hosts(site)
            copy = site.store.take_copy()
            site.list_server(site.servers["i-00000001"], state="draining")
            await wait_until(lambda: all_offer(site, "i-00000002"))
            site.store.restore(copy)
            await site.add_server(3)
            await wait_until(lambda: all_offer(site, "i-00000002", "i-00000003"))

    run(scenario())


def test_a_host_that_starts_on_an_older_copy_takes_the_newer_routes_of_its_reader() -> None:
    # The operators' newest configuration is lost until they write it again.
    async def scenario() -> None:
        async with SteeringSite() as site:
            reader, follower, _ = await start_hosts(site)
            copy = site.store.take_copy()
            await put_in_force(site, ROUTE, NEW_ROUTE, version=2)
            site.store.restore(copy)
            await wait_until(lambda: has_one_reader(site))
            await follower.kill()
            site.hosts.remove(follower)
            started = site.add_host(HOST_ADDRESSES.index(follower.address[0]))
            await wait_until(lambda: started.daemon.readiness is Readiness.READY)
            assert started.daemon.routes_version == 2
            assert reader.daemon.routes_version == 2

    run(scenario())


@pytest.mark.parametrize("is_recorded_in_copy", [True, False])
def test_one_host_is_the_reader_again_when_its_record_is_lost(is_recorded_in_copy: bool) -> None:
    async def scenario() -> None:
        async with SteeringSite() as site:
            site.configure()
            without_record = site.store.take_copy()
            await start_hosts(site)
            copy = site.store.take_copy() if is_recorded_in_copy else without_record
            await put_in_force(site, version=2)
            site.store.restore(copy)
            for server in site.servers.values():
                site.list_server(server)
            await put_in_force(site, version=3)
            await wait_until(lambda: has_one_reader(site))
            await wait_until(lambda: all_offer(site, *site.servers))

    run(scenario())


def test_logs_and_metrics_tell_which_state_of_the_store_a_host_follows() -> None:
    async def scenario() -> None:
        async with SteeringSite() as site:
            await start_hosts(site)
            copy = site.store.take_copy()
            await put_in_force(site, version=2)
            site.store.restore(copy)
            await put_in_force(site, version=3)
            await wait_until(lambda: has_one_reader(site))
            for host in site.hosts:
                assert "redwingswitch_steering_store_era 1" in host.daemon.metrics_text()

    with logbook.TestHandler() as handler:
        run(scenario())
    for pattern in (
        r"store era era=0 former=none source=\w+ store_revision=\d+ known_revision=0",
        r"store era era=1 former=0 source=list store_revision=1:\d+ known_revision=\d+",
        r"history lost store_revision=\d+ reason=.*restored from a copy, era 1 after 0.*",
        r"routes in force version=3 routes=1 store_revision=1:\d+",
    ):
        assert any(re.fullmatch(pattern, record.message) for record in handler.records), pattern


def test_open_flows_survive_a_restore_that_loses_their_server() -> None:
    async def scenario() -> None:
        async with SteeringSite() as site:
            site.configure()
            before_servers = site.store.take_copy()
            hosts = await start_hosts(site)
            flow = await site.open_flow(hosts[0])
            served_by = await flow.send_request(hosts[0].address, "before")
            site.store.restore(before_servers)
            await wait_until(lambda: all_offer(site))
            for host in hosts:
                assert await flow.send_request(host.address, "after") == served_by
                # Servers register again within seconds, so callers are not refused meanwhile.
                await site.open_flow(host)
            for server in site.servers.values():
                site.list_server(server)
            await wait_until(lambda: all_offer(site, *site.servers))
            assert await flow.send_request(hosts[1].address, "later") == served_by

    run(scenario())
