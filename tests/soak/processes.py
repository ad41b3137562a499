"""The steering program as separate processes."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

from tests.soak.disturbances import now_ms

SETTINGS_VARIABLE = "REDWINGSWITCH_SETTINGS"
PROGRAM = ("-m", "redwingswitch._internal.platform")
GRACE_PERIOD_S = 6
# The first line that the program writes, once it handles signals.
STARTED_LINE = b"steering: started"
# Before the interpreter runs the program, a signal has its default effect.
INTERPRETER_START_MS = 150


class HostProcess:
    """One host: its settings file, its current process and its log."""

    def __init__(
        self,
        *,
        name: str,
        address: str,
        port: int,
        peer_port: int,
        store: tuple[str, int],
        folder: Path,
        program: tuple[str, ...] = PROGRAM,
        failure_domain: str = "huon",
        further_settings: str = "",
    ) -> None:
        self.name = name
        self.failure_domain = failure_domain
        self.address = address
        self.port = port
        self.log = folder / f"{name}.log"
        self._program = program
        self._settings = folder / f"{name}.toml"
        self._started_ms = 0
        self._log_bytes_before = 0
        self._starting = asyncio.Lock()
        self._process: asyncio.subprocess.Process | None = None
        self._text = (
            f'host = "{name}"\n'
            f'failure_domain = "{failure_domain}"\n'
            f'steering = "{address}:{port}"\n'
            f'readiness = "{address}:{port}"\n'
            f'peers = "{address}:{peer_port}"\n'
            f'store = "{store[0]}:{store[1]}"\n'
            'failure_domains = ["huon", "hobart", "bruny"]\n'
            "out_of_service_limit_ms = 5000\n"
            f"{further_settings}"
        )
        self.write_settings(GRACE_PERIOD_S)

    def write_settings(self, grace_period_s: int) -> None:
        """Write the settings file."""
        self._settings.write_text(f"{self._text}grace_period_s = {grace_period_s}\n")

    @property
    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self._process is not None and self._process.returncode is None

    @property
    def is_starting(self) -> bool:
        """Return whether the latest process has not come so far that it handles signals.

        A host that ends before has not steered any packet. A pause may end long after the start.
        """
        with self.log.open("rb") as log:
            log.seek(self._log_bytes_before)
            return STARTED_LINE not in log.read()

    @property
    def has_started_program(self) -> bool:
        """Return whether the interpreter has certainly started to run the program."""
        return now_ms() - self._started_ms >= INTERPRETER_START_MS

    @property
    def exit_status(self) -> int | None:
        """Return the exit status of the last process, or None while it is running."""
        return None if self._process is None else self._process.returncode

    async def start(self) -> None:
        """Start the program unless it is running; restarts may overlap."""
        async with self._starting:
            if not self.is_running:
                await self._start()

    async def _start(self) -> None:
        self._started_ms = now_ms()
        with self.log.open("ab") as log:
            self._log_bytes_before = log.tell()
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self._program,
                stdout=log,
                stderr=log,
                env={**os.environ, SETTINGS_VARIABLE: str(self._settings)},
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process that this object started."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Wait until the process has ended; return its exit status."""
        assert self._process is not None
        return await self._process.wait()

    async def end(self) -> None:
        """Kill the process, even if it is paused."""
        if self.is_running:
            self.signal(signal.SIGKILL)
            await self.wait()
