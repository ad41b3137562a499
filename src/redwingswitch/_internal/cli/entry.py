"""The program ``redwingswitch-entry``: one entry host."""

from __future__ import annotations

import importlib
import sys

import fire

from redwingswitch._internal.cli import status_codes
from redwingswitch._internal.exceptions import InvalidInputGroup, RedwingswitchError


def run(settings: str) -> int:
    """Run an entry host until SIGTERM; ``settings`` names the TOML file of its settings."""
    entry = importlib.import_module("redwingswitch._internal.commands.entry")
    try:
        status: int = entry.run(settings_file=settings)
    except InvalidInputGroup as group:
        for error in group.exceptions:
            print(error, file=sys.stderr)
        return status_codes.INVALID_INPUT
    except RedwingswitchError as error:
        print(error, file=sys.stderr)
        return status_codes.ERROR
    except OSError as error:
        print(f"cannot start: {error}; free the port or change the settings", file=sys.stderr)
        return status_codes.ERROR
    return status


def main() -> None:
    """Parse the command line and exit with the run's status."""
    # fire prints a return value, which would put the exit status on standard output.
    status = fire.Fire(run, serialize=lambda _: "")
    sys.exit(status if isinstance(status, int) else status_codes.SUCCESS)
