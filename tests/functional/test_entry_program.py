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
from redwingswitch._internal.standins.reserved_ports import ReservedPort
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
TCP_PORT_KEYS = ("peer_port", "admin_port")
PORT_KEYS = (*TCP_PORT_KEYS, "data_port", "request_port")


@pytest.fixture
def ports():
    reserved = {key: ReservedPort() for key in PORT_KEYS}
    yield {key: port.number for key, port in reserved.items()}
    for port in reserved.values():
        port.close()


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


def test_a_hangup_keeps_the_configuration_and_a_termination_exits_cleanly(tmp_path, ports):
    async def body():
        standin = EtcdGatewayStandin(clock=MonotonicClock())
        standin.start()
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


async def run_to_end(settings_file):
    process = await start_program(settings_file)
    _, errors = await process.communicate()
    return process.returncode, errors.decode()


@pytest.mark.parametrize(
    ("text", "problem"),
    [("host = 1\n", "entry.toml:1: host"), (None, "cannot be read")],
    ids=["faulty settings", "no settings"],
)
def test_a_start_with_unusable_settings_reports_its_reason(tmp_path, text, problem):
    settings = tmp_path / "entry.toml"
    if text is not None:
        settings.write_text(text)
    status, errors = run(run_to_end(settings))
    assert status == status_codes.INVALID_INPUT
    assert problem in errors


@pytest.mark.parametrize("taken", PORT_KEYS)
def test_a_start_with_a_port_in_use_reports_it_and_ends(tmp_path, ports, taken):
    settings = tmp_path / "entry.toml"
    settings.write_text(SETTINGS_TEMPLATE.format(key=SECRET_KEY, store_port=1, **ports))
    kind = socket.SOCK_STREAM if taken in TCP_PORT_KEYS else socket.SOCK_DGRAM
    with socket.socket(socket.AF_INET, kind) as holder:
        holder.bind(("127.0.0.1", ports[taken]))
        status, errors = run(run_to_end(settings))
    assert status == status_codes.ERROR
    assert "cannot start" in errors
    assert "Traceback" not in errors
