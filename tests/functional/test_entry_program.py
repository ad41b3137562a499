"""Guards against an entry program that mishandles signals or starts with invalid settings."""

import asyncio
import os
import signal
import socket
import sys

import pytest
import zmq
from tornado.httpclient import AsyncHTTPClient

from redwingswitch._internal.cli import status_codes
from redwingswitch._internal.configuration.document import (
    CONFIGURATION_KEY,
    encode_document,
    make_document,
)
from redwingswitch._internal.network.store_http import HttpConfigStore
from redwingswitch._internal.ports import KeyPrecondition
from redwingswitch._internal.standins.store import EtcdGatewayStandin
from redwingswitch._internal.utils.clocks import MonotonicClock
from tests.lib.loops import run, wait_until

PROGRAM_CODE = "from redwingswitch._internal.cli.entry import main; main()"
PUBLIC_KEY, SECRET_KEY = (key.decode() for key in zmq.curve_keypair())
OPERATOR_FILE = """\
[[failure_domains]]
name = "hobart"
region = "south"
link_cost_ms = 5
[[entry_hosts]]
name = "entry-1"
failure_domain = "hobart"
address = "127.0.0.1"
public_key = '{key}'
peer_port = {peer_port}
data_port = {data_port}
request_port = {request_port}
admin_port = {admin_port}
[[services]]
name = "job-board"
address = "10.1.0.1"
port = 443
[[backend_servers]]
name = "job-1"
service = "job-board"
failure_domain = "hobart"
address = "127.0.0.1"
tunnel_port = 1
stream_port = 2
request_port = 3
report_port = 4
"""
SETTINGS_TEMPLATE = """\
host = "entry-1"
failure_domain = "hobart"
address = "127.0.0.1"
secret_key = '{key}'
store_endpoints = ["http://127.0.0.1:{store_port}"]
peer_port = {peer_port}
data_port = {data_port}
request_port = {request_port}
admin_port = {admin_port}
grace_period_s = 5
"""
PORT_KEYS = ("peer_port", "data_port", "request_port", "admin_port")


def free_ports():
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in PORT_KEYS]
    ports = {key: s.getsockname()[1] for key, s in zip(PORT_KEYS, sockets, strict=True)}
    for opened in sockets:
        opened.close()
    return ports


async def start_program(settings_file):
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        PROGRAM_CODE,
        f"--settings={settings_file}",
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
    )


async def put_document(port, text):
    store = HttpConfigStore(endpoints=[f"http://127.0.0.1:{port}"], timeout_ms=10_000)
    document = make_document(text=text, revision=1, apply_id="a", operator="o", previous=None)
    await store.compare_and_swap(
        key=CONFIGURATION_KEY,
        value=encode_document(document),
        expected=[KeyPrecondition(CONFIGURATION_KEY, 0)],
    )
    store.close()


async def wait_for_line(process, fragment):
    while fragment not in (line := (await process.stderr.readline()).decode()):
        assert line, "the program ended"


def test_a_hangup_keeps_the_configuration_and_a_termination_exits_cleanly(tmp_path):
    async def body():
        standin = EtcdGatewayStandin(clock=MonotonicClock())
        standin.start()
        ports = free_ports()
        await put_document(standin.port, OPERATOR_FILE.format(key=PUBLIC_KEY, **ports))
        settings = tmp_path / "entry.toml"
        settings.write_text(
            SETTINGS_TEMPLATE.format(key=SECRET_KEY, store_port=standin.port, **ports)
        )
        process = await start_program(settings)
        await wait_for_line(process, "revision 1 is in force")
        process.send_signal(signal.SIGHUP)
        await wait_for_line(process, "SIGHUP")
        url = f"http://127.0.0.1:{ports['admin_port']}/ready"
        assert (await AsyncHTTPClient().fetch(url)).body == b"ready\n"
        process.send_signal(signal.SIGTERM)
        await wait_for_line(process, "stops gracefully")
        assert await process.wait() == status_codes.SUCCESS
        # The lease is released, so that another host can watch the store immediately.
        await wait_until(lambda: standin.state.get("redwingswitch/watcher/hobart") is None)
        await standin.stop()

    run(body())


@pytest.mark.parametrize(
    ("text", "status", "problem"),
    [
        ("host = 1\n", status_codes.INVALID_INPUT, "entry.toml:1: host"),
        (None, status_codes.INVALID_INPUT, "cannot be read"),
        ("taken", status_codes.ERROR, "cannot start"),
    ],
    ids=["faulty settings", "no settings", "port in use"],
)
def test_a_failed_start_reports_its_reason(tmp_path, text, status, problem):
    async def body():
        settings = tmp_path / "entry.toml"
        ports = free_ports()
        with socket.create_server(("127.0.0.1", 0)) as taken:
            if text == "taken":
                ports["admin_port"] = taken.getsockname()[1]
                settings.write_text(SETTINGS_TEMPLATE.format(key=SECRET_KEY, store_port=1, **ports))
            elif text is not None:
                settings.write_text(text)
            process = await start_program(settings)
            _, errors = await process.communicate()
        assert process.returncode == status
        assert problem in errors.decode()

    run(body())
