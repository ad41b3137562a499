"""Guards against items of the store that cost more than themselves."""

import base64
import json

import logbook
import pytest

from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.models.list_readers import NO_READER
from redwingswitch._internal.platform.entries import CONFIGURATION_KEY, READER_PREFIX
from redwingswitch._internal.platform.standins.documents import build_configuration
from redwingswitch._internal.platform.store_items import (
    NO_ROUTES,
    Item,
    decode_value,
    find_reader,
    translate_items,
)


def test_a_removed_configuration_is_no_unreadable_one() -> None:
    with logbook.TestHandler() as handler:
        routes, _ = translate_items([Item(key=CONFIGURATION_KEY, revision=7, deleted=True)])
    assert routes == NO_ROUTES
    assert handler.records == []


def configuration(revision: int, version: int | None) -> Item:
    """Return an item of the operators; ``version`` is None if its value cannot be decoded."""
    if version is None:
        value = b"{"
    else:
        document = build_configuration(version=version, routes=[])
        value = json.dumps(document).encode()
    encoded = base64.b64encode(value).decode()
    return Item(key=CONFIGURATION_KEY, revision=revision, value=encoded)


@pytest.mark.parametrize(
    ("versions", "expected"),
    [
        pytest.param([1], (1, False), id="readable"),
        pytest.param([None], (None, True), id="unreadable"),
        pytest.param([1, None], (1, True), id="newest unreadable"),
        pytest.param([None, 2], (2, False), id="newest readable"),
        pytest.param([], (None, False), id="unchanged"),
    ],
)
def test_routes_tell_whether_a_later_version_could_not_be_decoded(
    versions: list[int | None], expected: tuple[int | None, bool]
) -> None:
    items = [configuration(5 + place, version) for place, version in enumerate(versions)]
    routes, _ = translate_items(items)
    version = None if routes.routes is None else routes.routes.version
    assert (version, routes.has_unreadable) == expected


@pytest.mark.parametrize("value", ["x", "%%%%", "aGk=\n", base64.b64encode(b"hi").decode() + "!"])
def test_a_value_that_is_not_base64_is_a_decode_error(value: str) -> None:
    with pytest.raises(DecodeError):
        decode_value(Item(key=CONFIGURATION_KEY, revision=7, value=value))


def test_an_item_without_a_revision_is_no_readers_record() -> None:
    key = f"{READER_PREFIX}huon"
    with logbook.TestHandler() as handler:
        assert find_reader([Item(key=key, revision=0)], reader_key=key) == NO_READER
    assert handler.records == []
