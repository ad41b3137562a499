"""Run a command-line program: arguments by fire, errors in words, exit statuses."""

from __future__ import annotations

import importlib
import os
import sys

import fire

from redwingswitch._internal.cli import status_codes
from redwingswitch._internal.exceptions import InvalidInputGroup, RedwingswitchError


class Invocation:
    """A chosen command and its options, run only when the whole command line was understood.

    ``command`` names a module of ``commands`` with a function ``run`` that returns the status.
    """

    # fire offers the public attributes of what it is handed as further commands.
    __slots__ = ("_command", "_options")

    def __init__(self, command: str, **options: object) -> None:
        self._command = command
        self._options = options

    def _run(self) -> int:
        # Each command is imported only when it is run, so that the others cost no start-up time.
        module = importlib.import_module(f"redwingswitch._internal.commands.{self._command}")
        return int(module.run(**self._options))


def run_program(program: object, *, name: str, arguments: list[str] | None = None) -> None:
    """Run a fire program whose commands return an ``Invocation``, and exit with its status.

    Prints the help when there are no arguments.
    """
    command_line = arguments if arguments is not None else sys.argv[1:]
    invocation = fire.Fire(
        program, command=command_line or ["--help"], name=name, serialize=lambda _: None
    )
    if isinstance(invocation, Invocation):
        sys.exit(_run_invocation(invocation, name))


def _run_invocation(invocation: Invocation, name: str) -> int:
    try:
        status = invocation._run()
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader, such as head, has gone. The interpreter must not write to it at exit either.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return status_codes.ERROR
    except InvalidInputGroup as group:
        _print_group(group)
        return status_codes.INVALID_INPUT
    except (RedwingswitchError, OSError) as error:
        print(f"{name}: {error}", file=sys.stderr)
        return status_codes.ERROR
    return status


def _print_group(group: InvalidInputGroup) -> None:
    print(group.message, file=sys.stderr)
    for error in group.exceptions:
        print(f"  {error}", file=sys.stderr)


def join_commas(value: object) -> str:
    """Return the text of an option that fire may have split at its commas."""
    if isinstance(value, list | tuple):
        return ",".join(str(part) for part in value)
    return str(value)
