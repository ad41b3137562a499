"""Command-line interface of ``redwingswitch-standin``.

A stand-in is a program that simulates a backend server, a caller or the key-value service.
"""

from __future__ import annotations

from redwingswitch._internal.cli.runner import Invocation, run_program


class StandIns:
    """Run stand-ins for tests and trials; every socket is bound to a loopback address."""

    def backend(
        self,
        *,
        name: str,
        service: str,
        service_address: str,
        service_port: int,
        address: str = "127.0.0.1",
        seconds: int = 60,
        ports: str | tuple[int, ...] = "",
        file_bytes: int = 0,
    ) -> Invocation:
        """Run a backend server for some seconds and print its ports as TOML.

        Args:
            name: the backend server's name.
            service: the service's name.
            service_address: the service's address.
            service_port: the service's port.
            address: a loopback address to listen on.
            seconds: how long to run, at most 3600.
            ports: tunnel, stream, request and report port, separated by commas; by default, the
                operating system assigns them.
            file_bytes: serve a file of this size over HTTP on the stream port; by default, the
                stream port echoes the data it receives.

        """
        return Invocation(
            "backend",
            name=name,
            service=service,
            service_address=service_address,
            service_port=service_port,
            address=address,
            seconds=seconds,
            ports=ports,
            file_bytes=file_bytes,
        )

    def calls(
        self, file: str, *, service: str, count: int = 100, service_ms: int = 20, seed: int = 1
    ) -> Invocation:
        """Send requests to the entry hosts of a configuration file and print their outcomes.

        Args:
            file: the configuration file that declares the entry hosts.
            service: the service's name.
            count: number of requests, of which at most four are in progress at a time.
            service_ms: processing time per request in a backend server stand-in.
            seed: seed of the request ids and the selection of entry hosts.

        """
        return Invocation(
            "standin_calls",
            file=file,
            service=service,
            count=count,
            service_ms=service_ms,
            seed=seed,
        )

    def demo(self, seed: int = 1) -> Invocation:
        """Run a deployment in one process: configuration change, graceful stop and crash."""
        return Invocation("demo", seed=seed, steering=False)

    def steering_demo(self, seed: int = 1) -> Invocation:
        """Run steering hosts in one process: server drain, host crash and store outage."""
        return Invocation("demo", seed=seed, steering=True)

    def store(
        self, port: int, address: str = "127.0.0.1", seconds: int = 600, delay_ms: int = 0
    ) -> Invocation:
        """Run a stand-in of the key-value service for some seconds or until it is interrupted."""
        return Invocation(
            "standin_store", port=port, address=address, seconds=seconds, delay_ms=delay_ms
        )


def main(arguments: list[str] | None = None) -> None:
    """Run the program and exit with the command's status."""
    run_program(StandIns(), name="redwingswitch-standin", arguments=arguments)
