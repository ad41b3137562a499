"""The operators' program, redwingswitchctl."""

from __future__ import annotations

import importlib
import os
import sys

import fire

from redwingswitch._internal.cli.status_codes import ERROR

DEFAULT_STORE = os.environ.get("REDWINGSWITCH_STORE", "http://127.0.0.1:2379")
DEFAULT_WAIT_LIMIT_S = 30


class _Invocation:
    """A chosen command and its options, run only when the whole command line was understood."""

    __slots__ = ("_command", "_options")

    def __init__(self, command: str, **options: object) -> None:
        self._command = command
        self._options = options

    def _run(self) -> int:
        # Each command is imported only when it is run, so that the others cost no start-up time.
        module = importlib.import_module(f"redwingswitch._internal.commands.{self._command}")
        return int(module.run(**self._options))


class Ctl:
    """Checks, applies and shows the configuration of a fleet of entry hosts.

    Exit statuses: 0 success, 1 error, 2 bad file or option, 3 another configuration was accepted
    first or the store is behind the fleet, 4 the store did not answer or did not confirm,
    5 the revision is not in force everywhere.
    """

    def check(self, file: str) -> _Invocation:
        """Check a file without the store.

        Args:
            file: Path of the operators' file, or - for the standard input.

        """
        return _Invocation("check", file=str(file))

    def plan(
        self,
        file: str,
        *,
        store: str = DEFAULT_STORE,
        hosts: str = "",
        without_hosts: bool = False,
    ) -> _Invocation:
        """Show what a file would change, without changing anything.

        Args:
            file: Path of the operators' file, or - for the standard input.
            store: URLs of the key-value service, separated by commas.
            hosts: Admin endpoints, address:port, separated by commas; by default those declared
                in the accepted file.
            without_hosts: Go on when no entry host answers.

        """
        return _Invocation(
            "plan",
            file=str(file),
            store=_joined(store),
            hosts=_joined(hosts),
            without_hosts=without_hosts,
        )

    def apply(
        self,
        file: str,
        *,
        store: str = DEFAULT_STORE,
        hosts: str = "",
        operator: str = "",
        without_hosts: bool = False,
        wait: bool = False,
        wait_limit_s: int = DEFAULT_WAIT_LIMIT_S,
        after: int = -1,
    ) -> _Invocation:
        """Check a file and make it the next revision.

        Args:
            file: Path of the operators' file, or - for the standard input.
            store: URLs of the key-value service, separated by commas.
            hosts: Admin endpoints, address:port, separated by commas; by default those declared
                in the accepted file.
            operator: Name to record; by default the name of the user.
            without_hosts: Go on when no entry host answers.
            wait: Wait until the revision is in force in each failure domain.
            wait_limit_s: Seconds to wait at most.
            after: Apply only when this revision is the accepted one; 0 means no file, -1 any.

        """
        return _Invocation(
            "apply",
            file=str(file),
            store=_joined(store),
            hosts=_joined(hosts),
            operator=str(operator),
            without_hosts=without_hosts,
            wait=wait,
            wait_limit_s=wait_limit_s,
            after=after,
        )

    def show(self, *, store: str = DEFAULT_STORE, revision: int = 0) -> _Invocation:
        """Print the accepted file.

        Args:
            store: URLs of the key-value service, separated by commas.
            revision: An earlier revision that the history still has; 0 for the accepted one.

        """
        return _Invocation("show", store=_joined(store), revision=revision)

    def status(
        self,
        *,
        store: str = DEFAULT_STORE,
        hosts: str = "",
        json: bool = False,
        every_host: bool = False,
    ) -> _Invocation:
        """Show what is in force where, and what is suspected, draining or ejected.

        Args:
            store: URLs of the key-value service, separated by commas.
            hosts: Admin endpoints, address:port, separated by commas; by default those declared
                in the accepted file.
            json: Print JSON.
            every_host: List the entry hosts without anything to note, too.

        """
        return _Invocation(
            "status", store=_joined(store), hosts=_joined(hosts), json=json, every_host=every_host
        )

    def history(self, *, store: str = DEFAULT_STORE, json: bool = False) -> _Invocation:
        """List the last accepted revisions: who applied what.

        Args:
            store: URLs of the key-value service, separated by commas.
            json: Print JSON.

        """
        return _Invocation("history", store=_joined(store), json=json)


def _joined(value: object) -> str:
    """Return the text of an option that fire may have split at its commas."""
    if isinstance(value, list | tuple):
        return ",".join(str(part) for part in value)
    return str(value)


def main(arguments: list[str] | None = None) -> None:
    """Run the program and exit with the command's status."""
    stated = arguments if arguments is not None else sys.argv[1:]
    chosen = fire.Fire(
        Ctl(), command=stated or ["--help"], name="redwingswitchctl", serialize=lambda _: None
    )
    if isinstance(chosen, _Invocation):
        sys.exit(_status_of(chosen))


def _status_of(chosen: _Invocation) -> int:
    try:
        status = chosen._run()
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader, such as head, has gone. The interpreter must not write to it at exit either.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return ERROR
    return status


if __name__ == "__main__":
    main()
