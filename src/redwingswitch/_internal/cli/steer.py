"""Command-line interface of ``redwingswitch-steer``, which steers packets by their cookie."""

from __future__ import annotations

from redwingswitch._internal.cli.runner import Invocation, run_program


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


def main(arguments: list[str] | None = None) -> None:
    """Run the program and exit with the command's status."""
    run_program(Steer(), name="redwingswitch-steer", arguments=arguments)
