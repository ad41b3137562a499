"""Command-line interface of redwingswitchctl, the operators' tool."""

from __future__ import annotations

import os

from redwingswitch._internal.cli.runner import Invocation, join_commas, run_program

DEFAULT_STORE = os.environ.get("REDWINGSWITCH_STORE", "http://127.0.0.1:2379")
DEFAULT_WAIT_LIMIT_S = 30


class Ctl:
    """Checks, applies and shows the configuration of a fleet of entry hosts.

    Exit statuses: 0 success, 1 error, 2 bad file or option, 3 another configuration was accepted
    first or the store is behind the fleet, 4 the store did not answer or did not confirm,
    5 the revision is not in force everywhere.
    """

    def check(self, file: str) -> Invocation:
        """Check a file without the store.

        Args:
            file: Path of the configuration file, or - for the standard input.

        """
        return Invocation("check", file=str(file))

    def plan(
        self,
        file: str,
        *,
        store: str = DEFAULT_STORE,
        hosts: str = "",
        without_hosts: bool = False,
    ) -> Invocation:
        """Show what a file would change, without changing anything.

        Args:
            file: Path of the configuration file, or - for the standard input.
            store: URLs of the key-value service, separated by commas.
            hosts: Admin endpoints, address:port, separated by commas; by default those declared
                in the accepted file.
            without_hosts: Continue even if no entry host answers.

        """
        return Invocation(
            "plan",
            file=str(file),
            store=join_commas(store),
            hosts=join_commas(hosts),
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
    ) -> Invocation:
        """Check a file and make it the next revision.

        Args:
            file: Path of the configuration file, or - for the standard input.
            store: URLs of the key-value service, separated by commas.
            hosts: Admin endpoints, address:port, separated by commas; by default those declared
                in the accepted file.
            operator: Name to record; by default the name of the user.
            without_hosts: Continue even if no entry host answers.
            wait: Wait until the revision is in force in each failure domain.
            wait_limit_s: Maximum time to wait, in seconds.
            after: Apply only if this is the accepted revision; 0 requires that no file is accepted
                yet, and -1 disables the check.

        """
        return Invocation(
            "apply",
            file=str(file),
            store=join_commas(store),
            hosts=join_commas(hosts),
            operator=str(operator),
            without_hosts=without_hosts,
            wait=wait,
            wait_limit_s=wait_limit_s,
            after=after,
        )

    def show(self, *, store: str = DEFAULT_STORE, revision: int = 0) -> Invocation:
        """Print the accepted file.

        Args:
            store: URLs of the key-value service, separated by commas.
            revision: An earlier revision from the history; 0 for the accepted one.

        """
        return Invocation("show", store=join_commas(store), revision=revision)

    def status(
        self,
        *,
        store: str = DEFAULT_STORE,
        hosts: str = "",
        json: bool = False,
        every_host: bool = False,
        burn_s: int = 0,
    ) -> Invocation:
        """Show where the accepted revision is in force, and what needs attention.

        Lists suspected or dead entry hosts, draining and ejected backend servers and, with
        ``burn_s``, error budgets that burn too fast.

        Args:
            store: URLs of the key-value service, separated by commas.
            hosts: Admin endpoints, address:port, separated by commas; by default those declared
                in the accepted file.
            json: Print JSON.
            every_host: Also list the entry hosts without notes.
            burn_s: Compare metrics over this many seconds and list error budgets that burn too
                fast; 0 skips this. Ignored with json.

        """
        return Invocation(
            "status",
            store=join_commas(store),
            hosts=join_commas(hosts),
            json=json,
            every_host=every_host,
            burn_s=burn_s,
        )

    def history(self, *, store: str = DEFAULT_STORE, json: bool = False) -> Invocation:
        """List the last accepted revisions with their operators and changes.

        Args:
            store: URLs of the key-value service, separated by commas.
            json: Print JSON.

        """
        return Invocation("history", store=join_commas(store), json=json)


def main(arguments: list[str] | None = None) -> None:
    """Run the program and exit with the command's status."""
    run_program(Ctl(), name="redwingswitchctl", arguments=arguments)
