"""Run a command-line program: arguments by fire, errors in words, exit statuses."""

from __future__ import annotations

import sys
from collections.abc import Callable

import fire

from redwingswitch._internal.cli import status_codes
from redwingswitch._internal.exceptions import InvalidInputGroup, RedwingswitchError


def run_program(program: Callable[[], object], *, name: str) -> None:
    """Run a fire program whose commands return exit statuses, and exit."""
    statuses: list[int] = []
    try:
        # The commands print what they have to say; fire must not print their exit status.
        fire.Fire(program, name=name, serialize=lambda result: _keep_status(result, statuses))
    except InvalidInputGroup as group:
        _print_group(group)
        sys.exit(status_codes.INVALID_INPUT)
    except (RedwingswitchError, OSError) as error:
        print(f"{name}: {error}", file=sys.stderr)
        sys.exit(status_codes.ERROR)
    sys.exit(statuses[-1] if statuses else status_codes.SUCCESS)


def _keep_status(result: object, statuses: list[int]) -> object:
    if not isinstance(result, int):
        return result
    statuses.append(result)
    return None


def _print_group(group: InvalidInputGroup) -> None:
    print(group.message, file=sys.stderr)
    for error in group.exceptions:
        print(f"  {error}", file=sys.stderr)
