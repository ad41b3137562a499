"""``redwingswitch-steer run``: run one steering daemon until SIGTERM or SIGINT."""

from __future__ import annotations

import importlib
import signal
from pathlib import Path

from redwingswitch._internal.cli import status_codes
from redwingswitch._internal.exceptions import RedwingswitchError
from redwingswitch._internal.network.sockets import bind_datagram_socket
from redwingswitch._internal.utils.garbage_collection import permanent_allocations

SETTINGS_MODULE = "redwingswitch._internal.steering_settings"
PROGRAM_MODULE = "redwingswitch._internal.daemon.steering_program"


def run(*, settings_file: str) -> int:
    """Run the daemon until it is stopped; return the exit status.

    Raises InvalidInputGroup for invalid settings and RedwingswitchError for a port in use.
    """
    # The default action of SIGHUP would end the process before the daemon installs its handler.
    # Settings that change meanwhile are detected by the modification time of their file.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    with permanent_allocations():
        settings_module = importlib.import_module(SETTINGS_MODULE)
    settings = settings_module.read_steering_settings(Path(settings_file))
    try:
        # The import below takes 0.2 s. Packets that arrive meanwhile are queued in the socket;
        # otherwise callers would retransmit them only after up to 1.6 s.
        bound_socket = bind_datagram_socket(settings.steering.address, settings.steering.port)
        with permanent_allocations():
            program = importlib.import_module(PROGRAM_MODULE)
        program.serve(
            settings=settings, settings_file=Path(settings_file), bound_socket=bound_socket
        )
    except OSError as error:
        raise RedwingswitchError(
            f"cannot start: {error}; free the port or change the settings"
        ) from error
    return status_codes.SUCCESS
