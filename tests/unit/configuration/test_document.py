"""Guards against damaged or unknown values in the store that are decoded as a configuration."""

import random
import zlib

import pytest

from redwingswitch._internal.configuration.document import (
    contains_apply_id,
    decode_document,
    encode_document,
    make_document,
)
from redwingswitch._internal.exceptions import DecodeError, InvalidInputGroup


def document(**changes):
    made = make_document(text='a = "é"\n', revision=3, apply_id="x", operator="o", previous=None)
    return {**made, **changes}


@pytest.mark.parametrize(
    ("encoded", "message"),
    [
        (b"", "malformed"),
        (b"{}", "malformed"),
        (zlib.compress(b"{}"), "malformed"),
        (encode_document(document())[:-1], "cut off"),
        (zlib.compress(b" " * 3_000_000), "longer"),
        (encode_document(document(schema_version=2)), "schema version 2"),
        (encode_document(document(text="b = 1")), "digest"),
        (encode_document(document(revision="3")), "malformed"),
    ],
)
def test_a_faulty_value_is_refused(encoded, message):
    with pytest.raises(DecodeError, match=message):
        decode_document(encoded)


def test_a_document_keeps_its_fields_and_ignores_those_of_later_versions():
    assert decode_document(encode_document(document())) == document()
    assert decode_document(encode_document(document(later_field=1))) == document()


def test_the_last_apply_ids_are_kept_and_older_ones_dropped():
    last = None
    for number in range(20):
        last = make_document(
            text="", revision=number, apply_id=f"id-{number}", operator="o", previous=last
        )
    assert [contains_apply_id(last, f"id-{n}") for n in (3, 4, 19)] == [False, True, True]


def test_a_text_that_cannot_be_compressed_below_the_limit_is_refused():
    noise = random.Random(1)
    text = "".join(chr(noise.randrange(0x4E00, 0x9F00)) for _ in range(700_000))
    with pytest.raises(InvalidInputGroup, match="nothing was changed"):
        encode_document(document(text=text))
