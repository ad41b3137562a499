"""The steering program as separate processes, started, signalled and ended by their ids."""

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
# The interpreter and the program's modules load in 0.3 s, and in more beside other work.
STARTUP_LIMIT_MS = 2_000
# No program can handle a signal before the interpreter runs it.
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
    ) -> None:
        self.name = name
        self.address = address
        self.port = port
        self.log = folder / f"{name}.log"
        self._program = program
        self._settings = folder / f"{name}.toml"
        self._started_ms = 0
        self._starting = asyncio.Lock()
        self._process: asyncio.subprocess.Process | None = None
        self._text = (
            f'host = "{name}"\n'
            'failure_domain = "huon"\n'
            f'steering = "{address}:{port}"\n'
            f'readiness = "{address}:{port}"\n'
            f'peers = "{address}:{peer_port}"\n'
            f'store = "{store[0]}:{store[1]}"\n'
        )
        self.write_settings(GRACE_PERIOD_S)

    def write_settings(self, grace_period_s: int) -> None:
        """Write the settings file."""
        self._settings.write_text(f"{self._text}grace_period_s = {grace_period_s}\n")

    @property
    def is_running(self) -> bool:
        """Return whether there is a process."""
        return self._process is not None and self._process.returncode is None

    @property
    def is_starting(self) -> bool:
        """Return whether the process was started so lately that it may not handle signals yet.

        A host that ends then has steered nothing.
        """
        return now_ms() - self._started_ms < STARTUP_LIMIT_MS

    @property
    def has_started_program(self) -> bool:
        """Return whether the interpreter has surely begun with the program's code."""
        return now_ms() - self._started_ms >= INTERPRETER_START_MS

    @property
    def exit_status(self) -> int | None:
        """Return the status of the last process once it has ended."""
        return None if self._process is None else self._process.returncode

    async def start(self) -> None:
        """Start the program unless it runs; restarts may overlap."""
        async with self._starting:
            if not self.is_running:
                await self._start()

    async def _start(self) -> None:
        self._started_ms = now_ms()
        with self.log.open("ab") as log:
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
        """Return the exit status once the process has ended."""
        assert self._process is not None
        return await self._process.wait()

    async def end(self) -> None:
        """Kill the process, also when it is stopped."""
        if self.is_running:
            self.signal(signal.SIGKILL)
            await self.wait()
