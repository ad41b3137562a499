"""Guards against an entry daemon whose sockets, admin endpoint and stop do not work together."""

import asyncio
import socket
from random import Random

import msgspec
import pytest
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from redwingswitch._internal.models.identifiers import FlowKey, PacketKind
from redwingswitch._internal.models.requests import Outcome
from redwingswitch._internal.network.peers import PeerKeys
from redwingswitch._internal.network.tunnel import build_packet
from redwingswitch._internal.report import metric_names
from redwingswitch._internal.standins.demo_fleet import JOB_BOARD, PHOTOS, DemoFleet
from redwingswitch._internal.standins.fabric import Fabric
from redwingswitch._internal.standins.memory_store import MemoryStore
from redwingswitch._internal.standins.request_caller import RequestCaller
from redwingswitch._internal.standins.work import Work
from redwingswitch._internal.utils.clocks import MonotonicClock
from tests.lib.loops import run, wait_until

SERVICES = (JOB_BOARD._replace(servers=2), PHOTOS._replace(servers=1))


class RunningFleet:
    """A running demo fleet with three entry hosts, backend servers and callers."""

    async def __aenter__(self):
        random_source = Random(5)
        self.clock = MonotonicClock()
        self.fabric = Fabric(random_source=random_source)
        self.store = MemoryStore()
        self.fleet = DemoFleet(
            clock=self.clock,
            random_source=random_source,
            store=self.store,
            fabric=self.fabric,
            entry_host_count=3,
            services=SERVICES,
        )
        await self.fleet.start()
        self.caller = RequestCaller(
            address="127.0.0.1", fabric=self.fabric, random_source=random_source
        )
        await self.wait_in_force(1)
        return self

    async def __aexit__(self, *_):
        self.caller.close()
        await self.fleet.close()

    async def wait_in_force(self, revision):
        names = list(self.fleet.daemons)
        await wait_until(lambda: min(self.fleet.revisions(names)) >= revision)

    async def get(self, daemon, path):
        url = f"http://{daemon.parameters.address}:{daemon.ports.admin_port}{path}"
        return (await AsyncHTTPClient().fetch(url)).body

    async def connect(self, daemon):
        await wait_until(lambda: JOB_BOARD.name in daemon.listening_services)
        port = self.fleet.listen_ports[JOB_BOARD.name]
        return await asyncio.open_connection(daemon.parameters.address, port)

    async def call(self, service=JOB_BOARD, **fields):
        return await self.caller.call(
            service=service.name,
            work=Work(service_ms=1, parts=3, part_bytes=900),
            idempotent=service.idempotent,
            timeout_ms=15_000,
            **fields,
        )


@pytest.mark.parametrize("service", SERVICES, ids=["non-idempotent", "idempotent"])
@pytest.mark.parametrize("body_parts", [1, 2])
def test_a_request_gets_a_complete_answer_and_runs_once(service, body_parts):
    async def body():
        async with RunningFleet() as running:
            result = await running.call(service, body_parts=body_parts)
            assert (result.outcome, result.complete) == (Outcome.ANSWERED, True)
            runs = sum(s.requests.runs[result.request_id] for s in running.fleet.servers.values())
            assert runs == 1

    run(body())


def _total(text, sample):
    values = [line.rpartition(" ")[2] for line in text.splitlines() if f"{sample} " in line]
    return sum(map(float, values))


def test_the_admin_endpoint_shows_requests_flows_and_readiness():
    async def body():
        async with RunningFleet() as running:
            await running.call()
            destination = JOB_BOARD.destination
            await running.fleet.streams.run_flow(destination=destination, packets=1, interval_s=0)
            daemons = running.fleet.daemons.values()
            text = "".join([(await running.get(d, "/metrics")).decode() for d in daemons])
            for name in vars(metric_names).values():
                if str(name).startswith("redwingswitch_"):
                    assert name in text
            # A caller retransmits an opening packet until it is answered, and each one is counted.
            opened = running.fleet.streams.packets_sent[PacketKind.OPEN]
            assert _total(text, 'requests_total{outcome="answered",service="job-board"}') == 1
            assert _total(text, 'flows_opened_total{service="job-board"}') == opened
            for daemon in daemons:
                assert await running.get(daemon, "/ready") == b"ready\n"
                assert await running.get(daemon, "/live") == b"live\n"
                status = msgspec.json.decode(await running.get(daemon, "/status"))
                assert (status["revision"], status["host"]) == (1, daemon.parameters.host)

    run(body())


def test_a_planned_stop_waits_for_open_connections():
    async def body():
        async with RunningFleet() as running:
            daemon = running.fleet.daemons["entry-2"]
            reader, writer = await running.connect(daemon)
            assert (await reader.readline()).startswith(b"job-board-")
            daemon.request_stop()
            stopped = asyncio.ensure_future(daemon.wait_stopped())
            with pytest.raises(HTTPClientError, match="503"):
                await running.get(daemon, "/ready")
            writer.write(b"last words")
            writer.write_eof()
            assert await reader.read() == b"last words"
            assert not stopped.done()
            writer.close()
            await stopped
            assert daemon.metrics.counts["cut_off_requests_total"].total() == 0

    run(body())


def test_a_stop_counts_the_connections_cut_off_at_the_grace_deadline():
    async def body():
        async with RunningFleet() as running:
            daemon = running.fleet.daemons["entry-2"]
            daemon.parameters = daemon.parameters._replace(grace_period_ms=300)
            reader, writer = await running.connect(daemon)
            await reader.readline()
            daemon.request_stop()
            await daemon.wait_stopped()
            with pytest.raises(ConnectionResetError):
                await reader.read()
            assert daemon.metrics.counts["cut_off_requests_total"].total() == 1
            writer.close()

    run(body())


def test_a_change_is_in_force_everywhere_and_a_flow_stays_with_its_server():
    async def body():
        async with RunningFleet() as running:
            fleet = running.fleet
            flow = asyncio.ensure_future(
                fleet.streams.run_flow(
                    destination=JOB_BOARD.destination, packets=20, interval_s=0.02
                )
            )
            await wait_until(lambda: any(s.tunnel.opened_flows for s in fleet.servers.values()))
            fleet.drain_server("job-board-1")
            await fleet.apply()
            await running.wait_in_force(2)
            await flow
            assert [verdict.broken for verdict in fleet.streams.flow_results()] == [False]

    run(body())


def test_hosts_keep_their_configuration_during_a_store_outage():
    async def body():
        async with RunningFleet() as running:
            running.store.set_available(False)
            assert (await running.call()).outcome is Outcome.ANSWERED
            assert running.fleet.revisions(running.fleet.daemons) == [1, 1, 1]
            running.store.set_available(True)
            await running.fleet.apply()
            await running.wait_in_force(2)

    run(body())


def test_a_peer_without_a_key_does_not_keep_a_revision_out_of_force():
    async def body():
        async with RunningFleet() as running:
            fleet = running.fleet
            running.fleet._keys["entry-3"] = PeerKeys()
            await fleet.apply()
            await wait_until(lambda: min(fleet.revisions(["entry-1", "entry-2"])) == 2)

    run(body())


@pytest.mark.parametrize(
    ("port", "data"),
    [("data_port", b"not a packet"), ("request_port", b"\xc1"), ("data_port", b"")],
)
def test_malformed_datagrams_are_counted_and_dropped(port, data):
    async def body():
        async with RunningFleet() as running:
            daemon = running.fleet.daemons["entry-1"]
            drops = daemon.metrics.counts["drops_total"]
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                address = (daemon.parameters.address, getattr(daemon.ports, port))
                sender.sendto(data, address)
                await wait_until(lambda: drops["malformed",] == 1)
                assert (await running.call()).outcome is Outcome.ANSWERED

    run(body())


def test_a_packet_for_no_service_reaches_no_server():
    async def body():
        async with RunningFleet() as running:
            daemon = running.fleet.daemons["entry-1"]
            flow = (6, b"\x0a\x09\x00\x01", 1000, b"\x0a\x01\x00\x09", 443)
            packet = build_packet(flow=FlowKey._make(flow), kind=PacketKind.OPEN)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                sender.sendto(packet, (daemon.parameters.address, daemon.ports.data_port))
                await wait_until(lambda: daemon.metrics.counts["drops_total"]["no_service",] == 1)
            assert not any(s.tunnel.packets for s in running.fleet.servers.values())

    run(body())
