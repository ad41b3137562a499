"""Guards against an entry daemon that keeps sockets open after a failed start."""

import socket
from random import Random

import pytest

from redwingswitch._internal.daemon.assembly import entry_host_factory, parse_document
from redwingswitch._internal.daemon.entry import EntryDaemon
from redwingswitch._internal.daemon.parameters import DaemonParameters
from redwingswitch._internal.network.peers import PeerKeys
from redwingswitch._internal.standins.reserved_ports import ReservedPort
from redwingswitch._internal.utils.clocks import MonotonicClock
from tests.lib.loops import run

ADDRESS = "127.0.0.1"
KINDS = {
    "data_port": socket.SOCK_DGRAM,
    "request_port": socket.SOCK_DGRAM,
    "peer_port": socket.SOCK_STREAM,
    "admin_port": socket.SOCK_STREAM,
}


def start_daemon(ports):
    return EntryDaemon(
        parameters=DaemonParameters(
            host="entry-1",
            failure_domain="huon",
            address=ADDRESS,
            keys=PeerKeys(),
            allow_plaintext=True,
            grace_period_ms=1_000,
            **ports,
        ),
        incarnation=1,
        clock=MonotonicClock(),
        random_source=Random(1),
        store=None,
        host_list=None,
        parse_document=parse_document,
        make_entry_host=entry_host_factory(
            host="entry-1", failure_domain="huon", random_source=Random(1)
        ),
    )


@pytest.mark.parametrize("taken", KINDS)
def test_a_failed_start_closes_every_socket_that_it_opened(taken):
    reserved = {key: ReservedPort() for key in KINDS}
    ports = {key: port.number for key, port in reserved.items()}

    async def body():
        with socket.socket(socket.AF_INET, KINDS[taken]) as holder:
            holder.bind((ADDRESS, ports[taken]))
            with pytest.raises(OSError, match="in use"):
                start_daemon(ports)
        daemon = start_daemon(ports)
        await daemon.close()

    run(body())
    for port in reserved.values():
        port.close()
