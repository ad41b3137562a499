"""Reads the platform's list of hosts, which may be out of date, at a fixed interval.

The list comes from an HTTP service of the users (setting ``host_list_url``) and is only a hint.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from logbook import Logger

from redwingswitch._internal.exceptions import RedwingswitchError
from redwingswitch._internal.models.events import Event, HostListChanged
from redwingswitch._internal.ports import HostList

log = Logger("host-list")

READ_INTERVAL_S = 5.0


class HostListPoller:
    """Submits the list whenever it changes; does nothing when ``host_list`` is None."""

    def __init__(self, *, host_list: HostList | None, submit: Callable[[Event], None]) -> None:
        self._host_list = host_list
        self._submit = submit
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start reading."""
        if self._host_list is not None:
            self._task = asyncio.ensure_future(self._run(self._host_list))

    def close(self) -> None:
        """Stop reading."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self, host_list: HostList) -> None:
        last_event: HostListChanged | None = None
        while True:
            try:
                event = HostListChanged(tuple(await host_list.read()))
            except (OSError, RedwingswitchError) as error:
                log.warning(f"the host list was not read: {error}")
            else:
                if event != last_event:
                    self._submit(event)
                    last_event = event
            await asyncio.sleep(READ_INTERVAL_S)
