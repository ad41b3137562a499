"""The errors of decoders for data that other programs have written."""

from __future__ import annotations

import msgspec

# msgspec raises these for invalid data, excessive nesting and unhashable map keys.
DECODING_ERRORS = (msgspec.MsgspecError, RecursionError, TypeError, ValueError, OverflowError)

MAX_DESCRIPTION_CHARS = 200


def describe_error(error: Exception) -> str:
    """Return what an error says in one short line, whatever data it quotes."""
    text = str(error)[:MAX_DESCRIPTION_CHARS]
    return text if text.isprintable() else ascii(text)
