"""Guards complete hosts against new flows in a failure domain that operators have emptied."""

import re
from collections.abc import Awaitable, Callable

import logbook
import pytest

from redwingswitch._internal.decisions.cookies.readiness import Readiness
from redwingswitch._internal.decisions.list_sharing.age_budget import age_budget
from redwingswitch._internal.models.list_sharing import ListSharingRole
from redwingswitch._internal.platform.standins import site as site_module
from redwingswitch._internal.platform.standins.site import (
    FAILURE_DOMAIN,
    HOST_ADDRESSES,
    LIST_AGE_LIMIT_MS,
    OTHER_FAILURE_DOMAIN,
    RunningHost,
    SteeringSite,
)
from redwingswitch._internal.platform.standins.store import Fault
from tests.functional.test_restored_store import all_offer, has_one_reader
from tests.lib.loops import run, wait_until

NEAR_SERVER, FAR_SERVER = "i-00000001", "i-00000002"


async def start_site(site: SteeringSite) -> list[RunningHost]:
    """Start three hosts of one failure domain and a server in each of two; the reader is first."""
    site.configure()
    await site.add_server(1)
    await site.add_server(2, failure_domain=OTHER_FAILURE_DOMAIN)
    for number in range(len(HOST_ADDRESSES)):
        host = site.add_host(number)
        await wait_until(lambda host=host: host.daemon.readiness is Readiness.READY)
    await wait_until(lambda: has_one_reader(site))
    await wait_until(lambda: all_offer(site, NEAR_SERVER, FAR_SERVER))
    return sorted(site.hosts, key=lambda host: host.daemon.list_role is not ListSharingRole.SERVING)


class LossySender:
    """Sends a host's datagrams except those to the addresses that it cannot reach."""

    def __init__(self, host: RunningHost, *, unreachable: set[str]) -> None:
        self._sender = host.daemon._server_list.peers._sender
        self._unreachable = unreachable

    def send(self, data: bytes, address: tuple[str, int]) -> bool:
        return address[0] in self._unreachable or self._sender.send(data, address)


def cut_off(host: RunningHost, *others: RunningHost) -> None:
    """Lose all datagrams from a host to others."""
    unreachable = {other.address[0] for other in others}
    host.daemon._server_list.peers.set_sender(LossySender(host, unreachable=unreachable))


async def lose_nothing(_site: SteeringSite, _hosts: list[RunningHost]) -> None:
    """Let the request reach all hosts."""


async def kill_reader_before_it_tells(site: SteeringSite, hosts: list[RunningHost]) -> None:
    reader, *followers = hosts
    cut_off(reader, *followers)
    site.store.take_out_of_service(FAILURE_DOMAIN)
    await wait_until(lambda: reader.daemon.servers_for_new_flows("job-board") == [FAR_SERVER])
    await reader.kill()
    site.hosts.remove(reader)


async def cut_a_follower_off_from_the_reader(_site: SteeringSite, hosts: list[RunningHost]) -> None:
    reader, follower, _ = hosts
    cut_off(reader, follower)
    cut_off(follower, reader)


async def cut_a_follower_off_from_the_store(_site: SteeringSite, hosts: list[RunningHost]) -> None:
    for connection in ("_connection", "_probe_connection"):
        getattr(hosts[1].daemon._store._calls, connection)._port = 1


async def lose_history(site: SteeringSite, _hosts: list[RunningHost]) -> None:
    site.store.fault = Fault.BUSY
    await wait_until(lambda: any(not h.daemon.is_store_reachable for h in site.hosts))
    site.store.take_out_of_service(FAILURE_DOMAIN)
    site.store.discard_history()
    site.store.fault = None


async def restore_an_older_copy(site: SteeringSite, _hosts: list[RunningHost]) -> None:
    copy = site.store.take_copy()
    site.store.take_out_of_service(OTHER_FAILURE_DOMAIN)
    await wait_until(lambda: all_offer(site, NEAR_SERVER))
    site.store.restore(copy)
    # The copy lacks the request.
    await wait_until(lambda: all_offer(site, NEAR_SERVER, FAR_SERVER))


async def let_two_hosts_serve(site: SteeringSite, hosts: list[RunningHost]) -> None:
    """Make another host the reader, without the former one hearing of it."""
    reader, successor, _ = hosts
    reader.daemon._server_list._updates.apply_reader = lambda *_arguments, **_options: None
    sharing = successor.daemon._sharing
    registered = await successor.daemon._store.register_reader(
        sharing.local_reader, expected=sharing.registered_reader.revision
    )
    successor.daemon._server_list._updates.apply_reader(registered, is_newest=True)
    serving = [host.daemon.list_role is ListSharingRole.SERVING for host in hosts]
    assert serving == [True, True, False]


@pytest.mark.parametrize(
    "disturb",
    [
        lose_nothing,
        kill_reader_before_it_tells,
        cut_a_follower_off_from_the_reader,
        cut_a_follower_off_from_the_store,
        let_two_hosts_serve,
        lose_history,
        restore_an_older_copy,
    ],
)
def test_all_hosts_in_touch_empty_a_domain_and_take_it_back(
    disturb: Callable[[SteeringSite, list[RunningHost]], Awaitable[None]],
) -> None:
    async def scenario() -> None:
        async with SteeringSite() as site:
            hosts = await start_site(site)
            await disturb(site, hosts)
            site.store.take_out_of_service(FAILURE_DOMAIN)
            await wait_until(lambda: all_offer(site, FAR_SERVER))
            for host in site.hosts:
                flow = await site.open_flow(host)
                assert await flow.send_request(host.address, "request") == FAR_SERVER
            site.store.take_back(FAILURE_DOMAIN)
            await wait_until(lambda: all_offer(site, NEAR_SERVER, FAR_SERVER))

    run(scenario())


@pytest.mark.parametrize(
    ("limit_ms", "expected_ms"), [(900, 900), (LIST_AGE_LIMIT_MS + 1, LIST_AGE_LIMIT_MS)]
)
def test_a_host_reads_as_often_as_the_stricter_limit_requires(
    limit_ms: int, expected_ms: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async with SteeringSite() as site:
            daemon = site.add_host().daemon
            follower = daemon._sharing._follower
            budget = age_budget(expected_ms)
            assert follower._age_limit_ms == budget.reader_age_ms
            assert daemon._server_list._read_interval_ms == budget.read_interval_ms

    monkeypatch.setattr(site_module, "OUT_OF_SERVICE_LIMIT_MS", limit_ms)
    run(scenario())


def test_a_host_that_starts_after_the_request_knows_it_before_its_first_flow() -> None:
    async def scenario() -> None:
        async with SteeringSite() as site:
            _, follower, _ = await start_site(site)
            await follower.kill()
            site.hosts.remove(follower)
            site.store.take_out_of_service(FAILURE_DOMAIN)
            await wait_until(lambda: all_offer(site, FAR_SERVER))
            started = site.add_host(HOST_ADDRESSES.index(follower.address[0]))
            flow = await site.open_flow(started)
            assert await flow.send_request(started.address, "request") == FAR_SERVER

    run(scenario())


def test_open_flows_go_on_in_the_emptied_domain_and_new_ones_are_reset_without_any() -> None:
    async def scenario() -> None:
        async with SteeringSite() as site:
            hosts = await start_site(site)
            flow = await site.open_flow(hosts[0])
            served_by = await flow.send_request(hosts[0].address, "before")
            site.store.take_out_of_service(FAILURE_DOMAIN)
            site.store.take_out_of_service(OTHER_FAILURE_DOMAIN)
            await wait_until(lambda: all_offer(site))
            for host in hosts:
                assert await flow.send_request(host.address, "after") == served_by
                refused = site.callers.create_flow(("198.18.0.1", 443))
                assert not await refused.open(host.address)

    run(scenario())


def test_log_and_gauge_tell_which_domains_are_out_of_service() -> None:
    gauge = "redwingswitch_steering_out_of_service"

    async def scenario() -> None:
        async with SteeringSite() as site:
            await start_site(site)
            site.store.take_out_of_service(FAILURE_DOMAIN)
            site.store.take_out_of_service("nowhere")
            await wait_until(
                lambda: all(
                    len(host.daemon._sharing.out_of_service.domains) == 2 for host in site.hosts
                )
            )
            for host in site.hosts:
                text = host.daemon.metrics_text()
                values = dict(re.findall(gauge + r'\{failure_domain="(\w+)"\} (\d)', text))
                assert values == {"huon": "1", "hobart": "0", "nowhere": "1"}
            for domain in (FAILURE_DOMAIN, "nowhere"):
                site.store.take_back(domain)
            await wait_until(
                lambda: not any(host.daemon._sharing.out_of_service.domains for host in site.hosts)
            )
            for host in site.hosts:
                text = host.daemon.metrics_text()
                assert re.findall(gauge + r'\{failure_domain="\w+"\} (\d)', text) == ["0"] * 3

    with logbook.TestHandler() as handler:
        run(scenario())
    for pattern in (
        r"out of service failure_domains=huon(,nowhere)? store_revision=\d+",
        r"out of service failure_domains=none store_revision=\d+",
    ):
        found = [r for r in handler.records if re.fullmatch(pattern, r.message)]
        assert {record.channel for record in found} == {"fleet"}
