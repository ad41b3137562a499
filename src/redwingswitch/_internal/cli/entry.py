"""Command-line interface of ``redwingswitch-entry``, which runs one entry host."""

from __future__ import annotations

from redwingswitch._internal.cli.runner import Invocation, run_program


def entry(settings: str) -> Invocation:
    """Run an entry host until SIGTERM; ``settings`` names the TOML file of its settings."""
    return Invocation("entry", settings_file=settings)


def main(arguments: list[str] | None = None) -> None:
    """Run the program and exit with the run's status."""
    run_program(entry, name="redwingswitch-entry", arguments=arguments)
