"""Differences between a JSON value and the form that a decoder expects, each with its place.

A decoder stops at the first difference. Here the fields are decoded one by one, with the types of
the decoder itself, so that all differences are found.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated, Any, Literal, NamedTuple, TypeVar, get_args, get_origin

import msgspec

from redwingswitch._internal.utils.decoding import DECODING_ERRORS, describe_error
from redwingswitch._internal.utils.toml_paths import KeyPath

T = TypeVar("T")

_object_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])
_array_decoder = msgspec.json.Decoder(list[msgspec.Raw])


class ShapeProblem(NamedTuple):
    """A value that does not have the expected form."""

    path: KeyPath
    problem: str
    remedy: str


def find_shape_problems(value: bytes, form: Any, path: KeyPath = ()) -> Iterator[ShapeProblem]:
    """Yield what in the JSON text ``value`` differs from the type ``form``."""
    try:
        if _is_struct(form):
            fields = _object_decoder.decode(value)
            yield from _find_in_object(fields, form, path)
        elif get_origin(form) is list:
            (element_form,) = get_args(form)
            for position, element in enumerate(_array_decoder.decode(value)):
                yield from find_shape_problems(bytes(element), element_form, (*path, position))
        else:
            msgspec.json.decode(value, type=form)
    except DECODING_ERRORS as error:
        yield ShapeProblem(path, describe_error(error), f"write {_describe_form(form)}")


def decode_as(value: bytes | None, form: type[T]) -> T | None:
    """Return the value of a JSON text, or None if it is missing or does not have the form."""
    if value is None:
        return None
    try:
        return msgspec.json.decode(value, type=form)
    except DECODING_ERRORS:
        return None


def split_object(value: bytes | None) -> dict[str, bytes]:
    """Return the JSON texts of the fields of an object; none if it is no object."""
    fields = decode_as(value, dict[str, msgspec.Raw]) or {}
    return {name: bytes(field) for name, field in fields.items()}


def split_array(value: bytes | None) -> list[bytes]:
    """Return the JSON texts of the elements of an array; none if it is no array."""
    return [bytes(element) for element in decode_as(value, list[msgspec.Raw]) or []]


def _find_in_object(
    fields: dict[str, msgspec.Raw], form: type[msgspec.Struct], path: KeyPath
) -> Iterator[ShapeProblem]:
    for field in msgspec.structs.fields(form):
        field_path = (*path, field.encode_name)
        if field.encode_name in fields:
            value = bytes(fields[field.encode_name])
            yield from find_shape_problems(value, field.type, field_path)
        elif field.required:
            remedy = f"add it with {_describe_form(field.type)}"
            yield ShapeProblem(field_path, "missing field", remedy)


def _is_struct(form: Any) -> bool:
    return isinstance(form, type) and issubclass(form, msgspec.Struct)


def _describe_form(form: Any) -> str:
    if _is_struct(form):
        return "an object"
    if get_origin(form) is list:
        return "an array"
    if get_origin(form) is Literal:
        return " or ".join(f'"{choice}"' for choice in get_args(form))
    if get_origin(form) is Annotated:
        base, limits = get_args(form)
        kind = "a whole number" if base is int else "a number"
        return f"{kind} from {limits.ge} to {limits.le}"
    return {str: "a string", bool: "true or false"}.get(form, "another value")
