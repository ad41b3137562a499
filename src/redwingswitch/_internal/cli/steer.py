"""Command-line interface of ``redwingswitch-steer``, which steers packets by their cookie."""

from __future__ import annotations

from redwingswitch._internal.cli.runner import Invocation, join_commas, run_program


class Steer:
    """Steer the packets of flows to backend servers that register themselves in a store."""

    def run(self, settings: str) -> Invocation:
        """Run one host until SIGTERM.

        Args:
            settings: the TOML file of the host's settings.

        """
        return Invocation("steer", settings_file=settings)

    def check(self, settings: str) -> Invocation:
        """Check a settings file and print all findings.

        Args:
            settings: the TOML file to check.

        """
        return Invocation("steer_check", settings_file=settings)

    def check_configuration(
        self,
        file: str,
        *,
        current: str = "",
        store: str = "",
        format: str = "text",
        demand: str = "",
    ) -> Invocation:
        """Check a configuration before it is sent, and print what it changes.

        Exit statuses: 0 no errors, 1 errors, 2 a file, the store or an option cannot be read.

        Args:
            file: Path of the configuration, in JSON.
            current: Path of the configuration in force.
            store: address:port of the store, from which the configuration in force and the servers
                are read; nothing is written.
            format: text or json.
            demand: Requests a second of routes by their names, such as lookup=569,export=49, to
                check the rates of slow starts.

        """
        return Invocation(
            "steer_check_configuration",
            file=str(file),
            current=str(current),
            store=str(store),
            output_format=str(format),
            demand=join_commas(demand),
        )


def main(arguments: list[str] | None = None) -> None:
    """Run the program and exit with the command's status."""
    run_program(Steer(), name="redwingswitch-steer", arguments=arguments)
