"""Signal handlers that stay harmless after the event loop has ended."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager


@contextmanager
def handle_signals(handlers: Mapping[signal.Signals, Callable[[], object]]) -> Iterator[None]:
    """Call the handlers on the running event loop; ignore their signals afterwards.

    Without that, closing the loop restores the default action, and a signal between the end of the
    work and the exit of the process would end it with a failure.
    """
    loop = asyncio.get_running_loop()
    for number, handler in handlers.items():
        loop.add_signal_handler(number, handler)
    try:
        yield
    finally:
        # Removing a handler restores the default action for a moment.
        signal.pthread_sigmask(signal.SIG_BLOCK, handlers)
        try:
            for number in handlers:
                loop.remove_signal_handler(number)
                signal.signal(number, signal.SIG_IGN)
        finally:
            signal.pthread_sigmask(signal.SIG_UNBLOCK, handlers)
