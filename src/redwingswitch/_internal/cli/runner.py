"""Run a command-line program: parse arguments with fire, print errors, set the exit status."""

from __future__ import annotations

import importlib
import os
import sys

import fire

from redwingswitch._internal.cli import status_codes
from redwingswitch._internal.exceptions import InvalidInputGroup, RedwingswitchError


class Invocation:
    """A selected command and its options, run only after the whole command line was parsed.

    ``command`` names a module of ``commands`` with a function ``run`` that returns the status.
    """

    # fire offers the public attributes of a returned object as further commands.
    __slots__ = ("_command", "_options")

    def __init__(self, command: str, **options: object) -> None:
        self._command = command
        self._options = options

    def _run(self) -> int:
        # Only the selected command is imported, to keep the start-up time short.
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
        # The reader of the pipe, such as head, has exited. The interpreter flushes stdout at exit,
        # which would raise the error again without this redirection.
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
    """Return an option as text; fire parses a value with commas into a tuple."""
    if isinstance(value, list | tuple):
        return ",".join(str(part) for part in value)
    return str(value)
