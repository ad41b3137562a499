"""Guards against signals that change the exit status of the steering program."""

import asyncio
import signal
import socket
from pathlib import Path

import pytest

from redwingswitch._internal.daemon import steering_program
from redwingswitch._internal.daemon.steering_daemon import SteeringDaemon
from redwingswitch._internal.steering_settings import parse_steering_settings
from redwingswitch._internal.utils.event_log import NonBlockingStream
from redwingswitch._internal.utils.signals import handle_signals

SETTINGS = """
host = "entry-0"
failure_domain = "huon"
steering = "127.0.0.1:8172"
readiness = "127.0.0.1:8167"
store = "127.0.0.1:8169"
grace_period_s = 3
"""


def test_a_hangup_between_the_stop_and_the_exit_does_not_kill_the_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # When the event loop closes, it restores the default action of SIGHUP. A signal before the exit
    # of the process would then end it with status -1 (found by seed 105 of the soak test).
    async def stop_at_once(_daemon: SteeringDaemon) -> None:
        """Return immediately, as after a complete run of the daemon."""

    monkeypatch.setattr(SteeringDaemon, "run", stop_at_once)
    settings = parse_steering_settings(text=SETTINGS, file="settings.toml")
    before = {number: signal.getsignal(number) for number in (signal.SIGHUP, signal.SIGTERM)}
    with socket.socket() as bound, (tmp_path / "log").open("wb") as log:
        stream = NonBlockingStream(log.fileno())
        try:
            asyncio.run(steering_program._serve(settings, tmp_path / "s.toml", bound, stream))
            assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
        finally:
            for number, handler in before.items():
                signal.signal(number, handler)


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
def test_a_signal_after_the_work_has_no_effect(number: signal.Signals) -> None:
    # A second SIGTERM, or a SIGHUP, may arrive while the interpreter shuts down.
    calls: list[signal.Signals] = []

    async def work() -> None:
        with handle_signals({number: lambda: calls.append(number)}):
            signal.raise_signal(number)
            while not calls:
                await asyncio.sleep(0)
        signal.raise_signal(number)

    before = signal.getsignal(number)
    try:
        asyncio.run(work())
        signal.raise_signal(number)
    finally:
        signal.signal(number, before)
    assert calls == [number]
