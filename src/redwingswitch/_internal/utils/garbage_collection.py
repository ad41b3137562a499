"""Control of the cyclic garbage collector."""

from __future__ import annotations

import gc
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def permanent_allocations() -> Iterator[None]:
    """Suspend garbage collections in the block, and exempt all objects that exist at its end.

    Meant for the imports of a daemon. Modules live as long as the process, so the collections free
    nothing there, but take a twelfth of the time of the imports.
    """
    gc.disable()
    try:
        yield
        gc.freeze()
    finally:
        gc.enable()
