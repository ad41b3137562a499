"""Guards against items of the store that cost more than themselves."""

import base64

import logbook
import pytest

from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.models.list_readers import NO_READER
from redwingswitch._internal.platform.entries import CONFIGURATION_KEY, READER_PREFIX
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


@pytest.mark.parametrize("value", ["x", "%%%%", "aGk=\n", base64.b64encode(b"hi").decode() + "!"])
def test_a_value_that_is_not_base64_is_a_decode_error(value: str) -> None:
    with pytest.raises(DecodeError):
        decode_value(Item(key=CONFIGURATION_KEY, revision=7, value=value))


def test_an_item_without_a_revision_is_no_readers_record() -> None:
    key = f"{READER_PREFIX}huon"
    with logbook.TestHandler() as handler:
        assert find_reader([Item(key=key, revision=0)], reader_key=key) == NO_READER
    assert handler.records == []
