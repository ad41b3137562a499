"""Faults and planned changes, selected by a seeded random source; they may overlap."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable, Sequence

from redwingswitch._internal.platform.standins.store import Fault
from tests.soak.disturbances import STABLE_WINDOW_MS, now_ms
from tests.soak.invariants import OUT_OF_SERVICE_LIMIT_MS
from tests.soak.proxy import LinkFault
from tests.soak.site import (
    DESTINATIONS,
    FAILURE_DOMAINS,
    SERVER_PREFIX,
    SERVERS_PER_SERVICE,
    SoakSite,
)

MS_PER_S = 1_000
FAULT_INTERVAL_S = (0.1, 1.2)
FAULT_DURATION_S = (0.3, 5.0)
# Longer than the time within which hosts must learn that a server is leaving.
DRAINING_S = 5.0
# An entry expires after three missed reports, and is listed again within 2 s of the store's return.
ENTRY_EXPIRY_S = 2.4
MAX_RELISTING_DELAY_S = 1.5
# The age of the copy from which the store is restored, and how long the store is away meanwhile.
COPY_AGE_S = (0.5, 8.0)
RESTORE_S = (0.1, 2.0)
# Hosts begin to send flows 3.5 s after the reader has told them which of them may.
SLOW_START_S = (5.0, 9.0)
RESTART_DELAY_S = (0.0, 1.5)
ODD_ENTRIES = (
    b"[" * 100_000 + b"]" * 100_000,
    b"\xff\x00",
    b'{"Service":"job-board","Address":"10.0.0.1:99999","Zone":"huon","Version":"v1","Slots":2,'
    b'"State":"ready","RampLeftMs":0,"Seq":1,"born":1}',
    b'{"Service":"job-board","Address":"10.0.0.1:80","Zone":"huon","Version":"v1","Slots":1'
    + b"0" * 30
    + b',"State":"ready","RampLeftMs":0,"Seq":1,"born":1}',
)


async def restart_killed_host(site: SoakSite) -> None:
    """Kill a host and restart it."""
    host = site.random.choice(site.hosts)
    site.begin_disturbance(host)
    host.signal(signal.SIGKILL)
    await host.wait()
    await asyncio.sleep(site.random.uniform(*RESTART_DELAY_S))
    await host.start()
    site.end_disturbance(host)


async def restart_hosts_in_turn(site: SoakSite) -> None:
    """Stop and start some hosts one after the other."""
    for host in site.random.sample(site.hosts, k=min(2, len(site.hosts))):
        site.begin_disturbance(host)
        host.signal(signal.SIGTERM)
        status = await host.wait()
        ended_early = status == -signal.SIGTERM and host.is_starting
        if status not in (0, -signal.SIGKILL) and not ended_early:
            site.invariants.report(f"stop: {host.name} ended with {host.exit_status}")
        await host.start()
        site.end_disturbance(host)


async def pause_host(site: SoakSite) -> None:
    """Pause a host and resume it."""
    host = site.random.choice(site.hosts)
    site.begin_disturbance(host)
    host.signal(signal.SIGSTOP)
    await asyncio.sleep(site.random.uniform(*FAULT_DURATION_S))
    host.signal(signal.SIGCONT)
    site.end_disturbance(host)


async def reload_host(site: SoakSite) -> None:
    """Change the settings of a host, with or without a reload signal."""
    host = site.random.choice(site.hosts)
    host.write_settings(site.random.randint(4, 8))
    if site.random.random() < 0.5 and host.has_started_program:
        host.signal(signal.SIGHUP)


async def disrupt_store_link(site: SoakSite) -> None:
    """Apply a link fault to the connections between a host and the store."""
    host = site.random.choice(site.hosts)
    proxy = site.proxies[host.address]
    site.disturbances.begin(host.address)
    proxy.set_fault(site.random.choice([f for f in LinkFault if f is not LinkFault.NONE]))
    await asyncio.sleep(site.random.uniform(*FAULT_DURATION_S))
    proxy.set_fault(LinkFault.NONE)
    site.disturbances.end(host.address)


async def lose_server_packets(site: SoakSite) -> None:
    """Drop some or all packets from a host to a server."""
    host = site.random.choice(site.hosts)
    server = site.random.choice(list(site.servers.values()))
    for subject in (host.address, server.name):
        site.disturbances.begin(subject)
    server.lost_from[host.address] = site.random.choice([0.3, 1.0])
    await asyncio.sleep(site.random.uniform(*FAULT_DURATION_S))
    server.lost_from.pop(host.address, None)
    for subject in (host.address, server.name):
        site.disturbances.end(subject)


async def interrupt_store(site: SoakSite) -> None:
    """Make the store fail; entries that expire meanwhile are listed again after its return."""
    if site.store.fault is not None:
        return
    site.disturbances.begin("store")
    site.store.fault = site.random.choice(list(Fault))
    await asyncio.sleep(ENTRY_EXPIRY_S)
    expired = [s for s in site.servers.values() if site.random.random() < 0.3]
    for server in expired:
        site.store.remove(f"{SERVER_PREFIX}{server.name}")
    site.store.fault = None
    await asyncio.sleep(site.random.uniform(0.0, MAX_RELISTING_DELAY_S))
    for server in expired:
        if not server.is_ended:
            site.list_server(server, state=server.state)
    site.disturbances.end("store")


async def restore_store(site: SoakSite) -> None:
    """Restore the store from a copy, and check that a change of the routes made then is in force.

    The operators and the servers write again what the copy lacks.
    """
    copy = site.store.take_copy()
    await asyncio.sleep(site.random.uniform(*COPY_AGE_S))
    if site.store.fault is not None:
        return
    site.disturbances.begin("store")
    site.store.fault = site.random.choice(list(Fault))
    await asyncio.sleep(site.random.uniform(*RESTORE_S))
    site.store.restore(copy)
    site.store.fault = None
    destination = site.add_route()
    # Without a delay, the revisions that were given out before are used up at once.
    if site.random.random() < 0.5:
        await asyncio.sleep(site.random.uniform(0.0, MAX_RELISTING_DELAY_S))
    site.list_servers_again()
    site.write_requests_again()
    site.disturbances.end("store")
    await asyncio.sleep(STABLE_WINDOW_MS / MS_PER_S)
    await site.check_route(destination)
    site.remove_route(destination)


async def leave_odd_entry(site: SoakSite) -> None:
    """Leave an entry of another writer among those of the servers, and remove it again."""
    key = f"{SERVER_PREFIX}i-odd{site.random.randrange(1_000)}"
    site.store.put(key, site.random.choice(ODD_ENTRIES))
    await asyncio.sleep(site.random.uniform(*FAULT_DURATION_S))
    site.store.remove(key)


async def discard_store_history(site: SoakSite) -> None:
    """Make the store discard its history."""
    site.disturbances.record_moment("store")
    site.store.discard_history()


async def replace_server(site: SoakSite) -> None:
    """Add a server, then drain and stop another server of the same service."""
    service = site.random.choice(list(DESTINATIONS))
    candidates = site.undisturbed_servers(service)
    await site.add_server(service)
    if len(candidates) < SERVERS_PER_SERVICE:
        return
    server = site.random.choice(candidates)
    server.draining_since_ms = now_ms()
    site.list_server(server, state="draining")
    await asyncio.sleep(DRAINING_S)
    site.store.remove(f"{SERVER_PREFIX}{server.name}")
    site.end_server(server)


async def crash_server(site: SoakSite) -> None:
    """Crash a server; its entry expires later."""
    service = site.random.choice(list(DESTINATIONS))
    candidates = site.undisturbed_servers(service)
    if len(candidates) < SERVERS_PER_SERVICE:
        return
    server = site.random.choice(candidates)
    site.end_server(server)
    await site.add_server(service)
    await asyncio.sleep(ENTRY_EXPIRY_S)
    site.store.remove(f"{SERVER_PREFIX}{server.name}")


async def change_routes(site: SoakSite) -> None:
    """Add a route, check that it is in force, remove it, and check that it is no longer used."""
    destination = site.add_route()
    await site.check_route(destination)
    site.remove_route(destination)
    await asyncio.sleep(site.random.uniform(*FAULT_DURATION_S))
    for host in site.hosts:
        _, flow = site.callers.open_through((host.address, host.port), destination)
        await flow.open((host.address, host.port))


async def empty_failure_domain(site: SoakSite) -> None:
    """Take a failure domain out of service for longer than the hosts may take, then take it back.

    Only one at a time, so that each service keeps servers.
    """
    if site.store.fault is not None or site.invariants.out_of_service_ms:
        return
    domain = site.random.choice(FAILURE_DOMAINS)
    site.take_out_of_service(domain)
    await asyncio.sleep(OUT_OF_SERVICE_LIMIT_MS / MS_PER_S + site.random.uniform(*FAULT_DURATION_S))
    site.take_back(domain)


async def start_server_in_slow_start(site: SoakSite) -> None:
    """Start a server in slow start under many new flows, and check its limit."""
    service = site.random.choice(list(DESTINATIONS))
    length_s = site.random.uniform(*SLOW_START_S)
    server = await site.add_server(service, slow_start_ms=int(length_s * MS_PER_S))
    await site.open_flows_in_slow_start(server)
    site.invariants.check_slow_start(server)


async def send_cookies_to_other_service(site: SoakSite) -> None:
    """Send the cookie of a flow of each service to the address of another service."""
    for service, destination in DESTINATIONS.items():
        port, flow = site.callers.open_routed(destination)
        if await flow.open(("", 0)):
            others = [other for name, other in DESTINATIONS.items() if name != service]
            site.callers.send_to_other_service(flow, port, others[0])


Action = Callable[[SoakSite], Awaitable[None]]
# A seed draws the same faults as long as its actions stay the same.
ACTIONS_BEFORE_RESTORE: tuple[Action, ...] = (
    restart_killed_host,
    restart_hosts_in_turn,
    pause_host,
    reload_host,
    disrupt_store_link,
    lose_server_packets,
    interrupt_store,
    discard_store_history,
    replace_server,
    replace_server,
    crash_server,
    change_routes,
    send_cookies_to_other_service,
)
ACTIONS_BEFORE_EMPTYING: tuple[Action, ...] = (
    *ACTIONS_BEFORE_RESTORE,
    restore_store,
    leave_odd_entry,
)
ACTIONS_BEFORE_SLOW_START: tuple[Action, ...] = (*ACTIONS_BEFORE_EMPTYING, empty_failure_domain)
ACTIONS: tuple[Action, ...] = (*ACTIONS_BEFORE_SLOW_START, start_server_in_slow_start)


def choose_actions(seed: int) -> tuple[Action, ...]:
    """Return the actions of a seed.

    Odd seeds run without slow start, so that all hosts are in one failure domain and share no load.
    """
    return ACTIONS_BEFORE_SLOW_START if seed % 2 else ACTIONS


async def inject_faults(
    site: SoakSite, *, seconds: float, actions: Sequence[Action] = ACTIONS
) -> None:
    """Start random faults at short intervals, then wait until all of them have ended."""
    deadline_ms = now_ms() + int(seconds * 1_000)
    running: set[asyncio.Task[None]] = set()
    while now_ms() < deadline_ms:
        action = site.random.choice(actions)
        task = asyncio.ensure_future(action(site))
        running.add(task)
        await asyncio.sleep(site.random.uniform(*FAULT_INTERVAL_S))
    await asyncio.gather(*running)
