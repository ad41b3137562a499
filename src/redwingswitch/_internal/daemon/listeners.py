"""The TCP listeners of an entry host, one for each service that has a listen port."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from logbook import Logger

from redwingswitch._internal.models.configuration import Service
from redwingswitch._internal.network.splice import ChooseServer, OnConnectFailed, SpliceListener

log = Logger("listeners")


class Listeners:
    """Opens and closes listeners as the configuration changes."""

    def __init__(
        self,
        *,
        address: str,
        choose_server: ChooseServer,
        on_connect_failed: OnConnectFailed,
        on_count: Callable[[int], None],
    ) -> None:
        self._address = address
        self._choose_server = choose_server
        self._on_connect_failed = on_connect_failed
        self._on_count = on_count
        self._open_listeners: dict[tuple[str, int], SpliceListener] = {}
        self._stopped_listeners: list[SpliceListener] = []
        self._stopping = False

    @property
    def open_connections(self) -> int:
        """Return the number of open connections, including those of stopped listeners."""
        return sum(
            listener.open_connections
            for listener in [*self._open_listeners.values(), *self._stopped_listeners]
        )

    @property
    def listening_services(self) -> frozenset[str]:
        """Return the services whose listener accepts connections."""
        return frozenset(
            service for (service, _), listener in self._open_listeners.items() if listener.port
        )

    async def update(self, services: Iterable[Service]) -> None:
        """Open and close listeners to match the services; open connections continue."""
        wanted = {
            (service.name, service.listen_port) for service in services if service.listen_port
        }
        for key in self._open_listeners.keys() - wanted:
            self._stop(key)
        self._stopped_listeners = [
            listener for listener in self._stopped_listeners if listener.open_connections
        ]
        if self._stopping:
            return
        for key in sorted(wanted - self._open_listeners.keys()):
            await self._listen(*key)

    def stop_listening(self) -> None:
        """Stop accepting connections on all listeners."""
        self._stopping = True
        for key in list(self._open_listeners):
            self._stop(key)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self.stop_listening()
        for listener in self._stopped_listeners:
            await listener.close()

    def _stop(self, key: tuple[str, int]) -> None:
        listener = self._open_listeners.pop(key)
        listener.stop_listening()
        self._stopped_listeners.append(listener)

    async def _listen(self, service: str, port: int) -> None:
        listener = SpliceListener(
            service=service,
            choose_server=self._choose_server,
            on_connect_failed=self._on_connect_failed,
            on_connections_changed=lambda: self._on_count(self.open_connections),
        )
        self._open_listeners[service, port] = listener
        try:
            await listener.listen(address=self._address, port=port)
        except OSError as error:
            del self._open_listeners[service, port]
            log.error(f"{service} is not served on port {port}: {error}")
