"""Conversion between msgpack arrays and models.

It checks every known field, and ignores unknown trailing fields, which newer versions may send.
"""

from __future__ import annotations

from collections.abc import Sequence
from functools import cache
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

import msgspec

from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.utils.decoding import DECODING_ERRORS

Model = TypeVar("Model")

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder()


def pack(values: Sequence[object]) -> bytes:
    """Return ``values`` as one msgpack array."""
    return _ENCODER.encode(values)


def unpack(data: bytes, *, minimum_fields: int) -> list[Any]:
    """Return the elements of a msgpack array; raise DecodeError for anything else."""
    try:
        values = _DECODER.decode(data)
    except DECODING_ERRORS as error:
        raise DecodeError(f"not a msgpack message: {error}") from error
    if not isinstance(values, list) or len(values) < minimum_fields:
        raise DecodeError("a message must be an array with at least its leading fields")
    return values


def convert_to_model(values: Any, model: type[Model]) -> Model:
    """Return ``model`` built from an array; ignore unknown trailing fields at every level.

    Raises DecodeError when a field is missing or has the wrong type.
    """
    try:
        return msgspec.convert(values, model)
    except DECODING_ERRORS:
        # Only invalid messages and those of a newer version get here, so this path is rare.
        return _convert_known_fields(values, model)


def check_integer(value: object, *, name: str, maximum: int) -> int:
    """Return ``value`` if it is an integer from 0 to ``maximum``; raise DecodeError otherwise."""
    if type(value) is not int or not 0 <= value <= maximum:
        raise DecodeError(f"{name} must be an integer from 0 to {maximum}")
    return value


def _convert_known_fields(values: Any, model: type[Model]) -> Model:
    try:
        return msgspec.convert(_drop_unknown_fields(values, model), model)
    except DECODING_ERRORS as error:
        raise DecodeError(f"invalid {model.__name__}: {error}") from error


def _drop_unknown_fields(value: Any, annotation: Any) -> Any:
    if not isinstance(value, list):
        return value
    if get_origin(annotation) is tuple:
        item_type, *_ = get_args(annotation)
        return [_drop_unknown_fields(element, item_type) for element in value]
    fields = _field_types(annotation)
    if fields is None:
        return value
    return [
        _drop_unknown_fields(element, field_type)
        for element, field_type in zip(value, fields, strict=False)
    ]


@cache
def _field_types(annotation: Any) -> tuple[Any, ...] | None:
    names = getattr(annotation, "_fields", None)
    if names is None:
        return None
    hints = get_type_hints(annotation)
    return tuple(hints[name] for name in names)
