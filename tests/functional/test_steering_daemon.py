"""Guards the complete steering daemon: sockets, store, steering, stop and settings reload."""

import asyncio
import os
import socket
from pathlib import Path

import logbook
import pytest
from tornado.iostream import IOStream

from redwingswitch._internal.daemon import settings_reload
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


async def start_site(site: SteeringSite, *numbers: int) -> RunningHost:
    """Configure the store and start servers; return the first host when it is ready."""
    site.configure()
    for number in numbers:
        await site.add_server(number)
    host = site.add_host()
    await until_ready(host)
    return host


async def until_ready(host: RunningHost) -> None:
    await wait_until(lambda: host.daemon.readiness is Readiness.READY)


async def check(host: RunningHost, path: str) -> int:
    """Return the HTTP status of a readiness check."""
    stream = IOStream(socket.socket())
    await stream.connect((host.address[0], host.daemon.readiness_port))
    await stream.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
    answer = await stream.read_until_close()
    return int(answer.split()[1])


def test_a_flow_is_answered_by_one_server_through_every_host() -> None:
    async def scenario() -> None:
        async with SteeringSite() as site:
            first = await start_site(site, 1, 2, 3)
            flow = await site.open_flow(first)
            served_by = await flow.send_request(first.address, "request")
            for number in (1, 2):
                host = site.add_host(number)
                await until_ready(host)
                assert await flow.send_request(host.address, "request") == served_by
            assert sum(server.unknown_flow_packets for server in site.servers.values()) == 0

    run(scenario())


def test_a_flow_survives_the_crash_and_restart_of_all_hosts() -> None:
    async def scenario() -> None:
        async with SteeringSite() as site:
            host = await start_site(site, 1, 2, 3)
            flow = await site.open_flow(host)
            served_by = await flow.send_request(host.address, "before")
            await host.kill()
            site.hosts.clear()
            restarted = site.add_host()
            # The new host holds the packet until it knows the routes and servers.
            assert await flow.send_request(restarted.address, "after") == served_by

    run(scenario())


def test_packets_that_arrive_before_the_configuration_are_held() -> None:
    async def scenario() -> None:
        async with SteeringSite() as site:
            await site.add_server(1)
            host = site.add_host()
            flow = site.callers.create_flow(DESTINATION)
            opened = asyncio.create_task(flow.open(host.address))
            await wait_until(lambda: host.daemon.held_packets > 0)
            site.configure()
            assert await opened

    run(scenario())


@pytest.mark.parametrize("silent_server", ["i-00000001", "i-00000002"])
def test_a_new_flow_avoids_a_silent_server_without_a_retry_of_the_caller(
    silent_server: str,
) -> None:
    async def scenario() -> None:
        async with SteeringSite() as site:
            host = await start_site(site, 1, 2)
            site.servers[silent_server].is_responding = False
            for _ in range(6):
                flow = await site.open_flow(host)
                answer = await flow.send_request(host.address, "request")
                assert answer is not None
                assert answer != silent_server

    run(scenario())


def test_a_draining_server_keeps_its_flows_and_gets_no_new_ones() -> None:
    async def scenario() -> None:
        async with SteeringSite() as site:
            host = await start_site(site, 1)
            flow = await site.open_flow(host)
            leaving = site.servers["i-00000001"]
            await site.add_server(2)
            site.list_server(leaving, state="draining")
            await wait_until(
                lambda: host.daemon.servers_for_new_flows("job-board") == ["i-00000002"]
            )
            assert await flow.send_request(host.address, "request") == leaving.name
            assert (
                await (await site.open_flow(host)).send_request(host.address, "x") == "i-00000002"
            )

    run(scenario())


@pytest.mark.parametrize("fault", list(Fault))
def test_flows_open_and_continue_during_a_store_outage(fault: Fault) -> None:
    async def scenario() -> None:
        async with SteeringSite() as site:
            host = await start_site(site, 1)
            flow = await site.open_flow(host)
            site.store.fault = fault
            site.store.put("servers/i-00000001", b"")
            await wait_until(lambda: not host.daemon.is_store_reachable)
            assert await flow.send_request(host.address, "request") == "i-00000001"
            assert (
                await (await site.open_flow(host)).send_request(host.address, "x") == "i-00000001"
            )
            site.store.fault = None
            await wait_until(lambda: host.daemon.is_store_reachable)

    run(scenario())


def test_routes_are_changed_and_removed() -> None:
    async def scenario() -> None:
        async with SteeringSite() as site:
            host = await start_site(site, 1)
            await site.add_server(9, service="photos")
            flow = await site.open_flow(host)
            site.configure(StandinRoute(*DESTINATION, "photos"), version=4)
            await wait_until(lambda: host.daemon.routes_version == 4)
            assert await flow.send_request(host.address, "request") == "i-00000001"
            assert (
                await (await site.open_flow(host)).send_request(host.address, "x") == "i-00000009"
            )
            site.configure(StandinRoute("198.18.0.9", 1, "photos"), version=9)
            await wait_until(lambda: host.daemon.routes_version == 9)
            assert await flow.send_request(host.address, "request") is None
            assert not await site.callers.create_flow(DESTINATION).open(host.address)

    run(scenario())


def test_a_planned_stop_leaves_the_rotation_and_keeps_steering_until_the_exit() -> None:
    async def scenario() -> None:
        async with SteeringSite() as site:
            host = await start_site(site, 1)
            flow = await site.open_flow(host)
            assert await check(host, "/ready") == 200
            assert await check(host, "/other") == 404
            host.daemon.request_stop()
            assert await check(host, "/ready") == 503
            assert await flow.send_request(host.address, "request") == "i-00000001"
            await host.task

    run(scenario())


async def start_failure_domain(site: SteeringSite) -> list[RunningHost]:
    """Start three hosts of one failure domain.

    Return them, the one that reads the server list for the others first.
    """
    first = await start_site(site, 1, 2)
    for number in (1, 2):
        await until_ready(site.add_host(number))
    await wait_until(lambda: roles(site) == ["following", "following", "serving"])
    assert first in site.hosts
    return sorted(site.hosts, key=lambda host: host.daemon.list_role is not ListSharingRole.SERVING)


async def until_all_offer(site: SteeringSite, server: str) -> None:
    def offered() -> list[list[str]]:
        return [host.daemon.servers_for_new_flows("job-board") for host in site.hosts]

    await wait_until(lambda: offered() == [[server]] * len(site.hosts))


def roles(site: SteeringSite) -> list[str]:
    return sorted(str(host.daemon.list_role) for host in site.hosts)


def test_hosts_of_a_failure_domain_learn_of_a_drain_from_their_reader() -> None:
    async def scenario() -> None:
        async with SteeringSite() as site:
            reader, *followers = await start_failure_domain(site)
            watches = site.store.calls.count("/v1/kv-watch")
            site.list_server(site.servers["i-00000001"], state="draining")
            await until_all_offer(site, "i-00000002")
            # The reader's watch returns and is renewed at most once.
            assert site.store.calls.count("/v1/kv-watch") <= watches + 1
            assert reader.daemon.list_role is ListSharingRole.SERVING
            assert len(followers) == 2

    run(scenario())


def test_another_host_replaces_a_killed_reader() -> None:
    async def scenario() -> None:
        async with SteeringSite() as site:
            reader, *_ = await start_failure_domain(site)
            await reader.kill()
            site.hosts.remove(reader)
            site.list_server(site.servers["i-00000001"], state="draining")
            await until_all_offer(site, "i-00000002")
            await wait_until(lambda: roles(site) == ["following", "serving"])

    run(scenario())


def test_hosts_of_two_failure_domains_know_their_load_together() -> None:
    # Needs the records of both readers from the store, and datagrams on all three ways.
    def knows_all(host: RunningHost) -> bool:
        text = host.daemon.metrics_text()
        return (
            "redwingswitch_steering_load_hosts 3" in text
            and "redwingswitch_steering_load_domains 2" in text
        )

    async def scenario() -> None:
        async with SteeringSite() as site:
            site.configure()
            await site.add_server(1)
            for number, domain in enumerate(("huon", "huon", "hobart")):
                host = site.add_host(number, failure_domain=domain, load_sharing=True)
                await until_ready(host)
            await wait_until(lambda: all(knows_all(host) for host in site.hosts))

    run(scenario())


@pytest.mark.parametrize("fault", list(Fault))
def test_hosts_that_restart_in_an_outage_of_the_store_serve_through_a_neighbour(
    fault: Fault,
) -> None:
    # Two of three hosts of a failure domain restarted as it was cut off from the store. The routers
    # sent packets to all three, since less than half were ready, and two thirds got no answer.
    async def scenario() -> None:
        async with SteeringSite() as site:
            reader, neighbour, follower = await start_failure_domain(site)
            flow = await site.open_flow(neighbour)
            served_by = await flow.send_request(neighbour.address, "before")
            await wait_until(lambda: neighbour.daemon.known_neighbours == 2)
            site.store.fault = fault
            restarted = []
            for host in (reader, follower):
                number = HOST_ADDRESSES.index(host.address[0])
                await host.kill()
                site.hosts.remove(host)
                restarted.append(site.add_host(number))
            for host in restarted:
                await until_ready(host)
                assert await flow.send_request(host.address, "after") == served_by
                await site.open_flow(host)
            site.store.fault = None
            site.list_server(site.servers["i-00000001"], state="draining")
            await until_all_offer(site, "i-00000002")

    run(scenario())


VALID_SETTINGS = """
host = "entry-0"
failure_domain = "huon"
steering = "127.0.0.1:8172"
readiness = "127.0.0.1:8167"
store = "127.0.0.1:8169"
grace_period_s = {grace_period_s}
"""


@pytest.mark.parametrize(
    ("content", "line"),
    [
        pytest.param(VALID_SETTINGS.format(grace_period_s=9), "reload done", id="valid"),
        pytest.param(VALID_SETTINGS.format(grace_period_s=0), "reload refused", id="invalid"),
    ],
)
def test_a_change_of_the_settings_file_is_noticed_without_a_signal(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, content: str, line: str
) -> None:
    monkeypatch.setattr(settings_reload, "SETTINGS_CHECK_INTERVAL_MS", 5)

    async def scenario() -> None:
        settings_file = tmp_path / "settings.toml"
        settings_file.write_text(VALID_SETTINGS.format(grace_period_s=3))
        async with SteeringSite() as site:
            site.configure()
            await site.add_server(1)
            await until_ready(site.add_host(settings_file=settings_file))
            os.utime(settings_file, ns=(0, 0))
            settings_file.write_text(content)
            await wait_until(lambda: any(line in r.message for r in handler.records))

    with logbook.TestHandler() as handler:
        run(scenario())


@pytest.mark.parametrize(
    "addition",
    [
        pytest.param("link_mbps = " + "[" * 5_000, id="nested arrays"),
        pytest.param("link_mbps = " + "9" * 5_000, id="5,000 digits"),
        pytest.param("link_mbps = " + "9" * 400, id="400 digits"),
    ],
)
def test_settings_that_cannot_be_parsed_are_refused_and_a_stop_completes(
    tmp_path: Path, addition: str
) -> None:
    # Reading them raised RecursionError, ValueError or OverflowError, also at the start of a stop:
    # SIGTERM did not end the process.
    async def scenario() -> None:
        settings_file = tmp_path / "settings.toml"
        settings_file.write_text(VALID_SETTINGS.format(grace_period_s=3) + addition)
        async with SteeringSite() as site:
            site.configure()
            await site.add_server(1)
            host = site.add_host(settings_file=settings_file)
            await until_ready(host)
            host.daemon.reload()
            refused = [r.message for r in handler.records if "reload refused" in r.message]
            assert len(refused) == 1
            assert f"{settings_file}:8: " in refused[0]
            assert "\n" not in refused[0]
            assert "settings_refused 1" in host.daemon.metrics_text()
            assert await check(host, "/ready") == 200
            host.daemon.request_stop()
            await host.task

    with logbook.TestHandler() as handler:
        run(scenario())


def test_an_error_in_reading_the_settings_does_not_keep_the_process_from_stopping(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(_path: Path) -> None:
        raise RecursionError

    async def scenario() -> None:
        async with SteeringSite() as site:
            host = await start_site(site, 1)
            host.daemon._reload._settings_file = tmp_path / "settings.toml"
            monkeypatch.setattr(settings_reload, "read_steering_settings", fail)
            with pytest.raises(RecursionError):
                host.daemon.request_stop()
            await host.task

    run(scenario())


def test_an_error_in_the_fleet_reader_ends_the_process(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        async with SteeringSite() as site:
            host = await start_site(site, 1)

            def fail(*_arguments: object) -> None:
                raise ValueError("a fault")

            monkeypatch.setattr(host.daemon, "_update_readiness", fail)
            site.store.put("servers/i-00000001", b"")
            with pytest.raises(ValueError, match="a fault"):
                await host.task

    run(scenario())
