"""Command-line interface of ``redwingswitch-report``."""

from __future__ import annotations

from redwingswitch._internal.cli.runner import Invocation, join_commas, run_program


class ReportProgram:
    """Report how fast services consume their error budgets, and what hosts did in each second."""

    def show(
        self,
        file: str = "",
        *,
        directory: str = "",
        settings: str = "",
        hosts: str = "",
        seconds: int = 60,
        json: bool = False,
    ) -> Invocation:
        """Show budgets and burn rates; the exit status is 0, 6 (burning) or 7 (exhausted).

        Args:
            file: the configuration file with the objectives; omitted for steering hosts.
            directory: a directory of saved scrapes; without it, each host is scraped twice.
            settings: a TOML file with hosts, windows and the objectives of steering hosts.
            hosts: admin endpoints, ADDRESS:PORT, separated by commas.
            seconds: time between the two scrapes.
            json: print JSON instead of a table.

        """
        return Invocation(
            "report_show",
            file=file,
            directory=directory,
            settings=settings,
            hosts=join_commas(hosts),
            seconds=seconds,
            as_json=json,
        )

    def seconds(
        self, *files: str, domain: str = "", json: bool = False, plot: str | None = None
    ) -> Invocation:
        """Show what steering hosts did in each second, by failure domain, from their logs.

        Args:
            files: the logs of the hosts, one file a host, or any files whose lines name the host.
            domain: show only the hosts of this failure domain.
            json: print JSON instead of a table.
            plot: also write the rows to this SVG file; needs matplotlib (the extra 'plot').

        """
        # fire passes True for an option without a value.
        plot_file = "" if isinstance(plot, bool) else plot
        return Invocation(
            "report_seconds",
            files=[str(file) for file in files],
            failure_domain=str(domain),
            as_json=json,
            plot=None if plot_file is None else join_commas(plot_file),
        )

    def collect(
        self,
        directory: str,
        *,
        settings: str = "",
        hosts: str = "",
        count: int = 1,
        every_s: int = 60,
    ) -> Invocation:
        """Save scrapes of the entry hosts in a directory.

        Args:
            directory: where to save them; created if it does not exist.
            settings: a TOML file with the hosts.
            hosts: admin endpoints, ADDRESS:PORT, separated by commas.
            count: number of scrapes of each host.
            every_s: seconds between two scrapes.

        """
        return Invocation(
            "report_collect",
            directory=directory,
            settings=settings,
            hosts=join_commas(hosts),
            count=count,
            every_s=every_s,
        )


def main() -> None:
    """Run ``redwingswitch-report``."""
    run_program(ReportProgram(), name="redwingswitch-report")
