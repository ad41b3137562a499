"""``redwingswitch-steer``: run one steering daemon until it is told to stop."""

from __future__ import annotations

import importlib
import signal
from pathlib import Path

from redwingswitch._internal.cli import status_codes
from redwingswitch._internal.exceptions import RedwingswitchError
from redwingswitch._internal.network.sockets import bind_datagram_socket

SETTINGS_MODULE = "redwingswitch._internal.steering_settings"
PROGRAM_MODULE = "redwingswitch._internal.daemon.steering_program"


def run(*, settings_file: str) -> int:
    """Run the daemon until it is stopped; return the exit status.

    Raises InvalidInputGroup for bad settings and RedwingswitchError for a taken port.
    """
    # Until the daemon handles it, the signal would end the process. Settings that change meanwhile
    # are found by their file's time.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    settings = importlib.import_module(SETTINGS_MODULE).read_steering_settings(Path(settings_file))
    try:
        # Loading the rest takes 0.2 s. Packets that come meanwhile wait in the socket: their
        # callers would send them again only after up to 1.6 s.
        bound_socket = bind_datagram_socket(settings.steering.address, settings.steering.port)
        program = importlib.import_module(PROGRAM_MODULE)
        program.serve(settings=settings, settings_file=Path(settings_file), bound=bound_socket)
    except OSError as error:
        raise RedwingswitchError(
            f"cannot start: {error}; free the port or change the settings"
        ) from error
    return status_codes.SUCCESS
