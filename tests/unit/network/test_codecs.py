"""Guards against decoders that crash on malformed input or disagree with their encoders."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from redwingswitch._internal.configuration.document import text_digest
from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.models import messages
from redwingswitch._internal.models.configuration import BackendServer, ServerState
from redwingswitch._internal.models.identifiers import CallerAddress, FlowKey, PacketKind
from redwingswitch._internal.models.members import HostDigest, MemberState, MemberUpdate
from redwingswitch._internal.models.requests import AnswerHeader, Outcome, RequestHeader
from redwingswitch._internal.network import caller_codec, frames
from redwingswitch._internal.network.codec import Envelope, decode_message, encode_message

REQUEST_ID = bytes(range(16))
FLOW = FlowKey(6, b"\x0a\x00\x00\x01", 40000, b"\x0a\x01\x00\x01", 443)
DIGEST = HostDigest(revision=3, revision_digest="d", ejected_servers=(7,))
UPDATE = MemberUpdate("entry-1", "hobart", 1 << 60, MemberState.LEAVING)
HEADER = RequestHeader("job-board", REQUEST_ID, False, 900)
DOCUMENT = {
    "schema_version": 1,
    "revision": 2,
    "apply_id": "a",
    "operator": "o",
    "digest": text_digest("t"),
    "text": "t",
    "recent_apply_ids": ["a"],
}
SERVER = BackendServer(
    "job-1", "job-board", "hobart", "10.0.0.1", 1, 2, 3, 4, 2, 10, ServerState.DRAINING
)
GROUP = messages.RecordGroup(9, b"123456" * 2)
PEER_MESSAGES = [
    messages.Ping(1, (UPDATE,), DIGEST, "entry-2"),
    messages.Ack(1, "entry-1", (), DIGEST),
    messages.PingRequest(1, "entry-3"),
    messages.RevisionOffer(2, "d"),
    messages.RevisionRequest(1),
    messages.RevisionDocument(DOCUMENT),
    messages.RecordBatch(5, 1, messages.BatchPurpose.HAND_OVER, (GROUP,)),
    messages.RecordBatchAck(1),
    messages.RecordQuery(5, 2**64 - 1),
    messages.RecordReply(5, 2**64 - 1, 9),
    messages.ForwardedPacket(FLOW, 2**63, PacketKind.OPEN, 1, b"packet"),
    messages.ForwardedRequest(HEADER, b"body", CallerAddress("127.0.0.1", 9), 1),
    messages.ClaimRequest(REQUEST_ID, 2),
    messages.ClaimReply(REQUEST_ID, messages.ClaimDecision.HELD, "entry-1", 4, 2),
    messages.CancelRequest("job-board", REQUEST_ID),
    messages.TableHistoryRequest(5),
    messages.TableHistory(5, (messages.HistoricTable(2, 0, ("job-1",)),), (SERVER,), ("job-1",)),
]
DATAGRAMS = [
    caller_codec.RequestDatagram(HEADER, b"body"),
    caller_codec.CancelDatagram(caller_codec.CancelHeader("job-board", REQUEST_ID)),
    caller_codec.AnswerDatagram(AnswerHeader(REQUEST_ID, Outcome.ANSWERED, 1, 2), b"body"),
]
FRAMES = [
    frames.DispatchFrame(1, REQUEST_ID, "job-board", True, 100, b"body"),
    frames.CancelFrame(1),
    frames.AnswerFrame(1, 0, 2, b"body"),
    frames.ShedFrame(1),
    frames.RefuseFrame(1, "draining"),
]


def encode_peer_message(message):
    return encode_message(sender="entry-1", incarnation=5, message=message)


def decode_peer_message(data):
    return decode_message(data).message


def encode_frame_content(frame):
    return frames.encode_frame(frame)[frames.LENGTH_BYTES :]


CODECS = {
    "peer": (encode_peer_message, decode_peer_message, PEER_MESSAGES),
    "caller": (caller_codec.encode_datagram, caller_codec.decode_datagram, DATAGRAMS),
    "backend": (encode_frame_content, frames.decode_content, FRAMES),
}
CASES = [(name, value) for name, (_, _, values) in CODECS.items() for value in values]


def test_the_samples_cover_every_kind():
    assert [type(message) for message in PEER_MESSAGES] == list(messages.MESSAGE_TYPES)
    assert [type(frame) for frame in FRAMES] == list(frames.FRAME_TYPES)


@pytest.mark.parametrize(("codec", "value"), CASES)
def test_every_kind_round_trips(codec, value):
    encode, decode, _ = CODECS[codec]
    assert decode(encode(value)) == value
    assert type(decode(encode(value))) is type(value)


@pytest.mark.parametrize(("codec", "value"), CASES)
def test_fields_of_a_newer_version_are_ignored(codec, value):
    encode, decode, _ = CODECS[codec]
    newer = [*msgspec.msgpack.decode(encode(value)), "new field"]
    assert decode(msgspec.msgpack.encode(newer)) == value


def test_fields_of_a_newer_version_are_ignored_in_nested_models():
    raw = msgspec.msgpack.decode(encode_peer_message(PEER_MESSAGES[0]))
    raw[5][0].append("new update field")
    raw[6].append("new digest field")
    assert decode_message(msgspec.msgpack.encode(raw)) == Envelope("entry-1", 5, PEER_MESSAGES[0])


@pytest.mark.parametrize("codec", CODECS)
@pytest.mark.parametrize("version", [0, 2, True, "1", None])
def test_other_schema_versions_are_rejected(codec, version):
    encode, decode, values = CODECS[codec]
    raw = msgspec.msgpack.decode(encode(values[0]))
    with pytest.raises(DecodeError):
        decode(msgspec.msgpack.encode([version, *raw[1:]]))


@pytest.mark.parametrize(
    ("codec", "value"),
    [
        ("peer", messages.RecordBatch(5, 1, 0, (messages.RecordGroup(9, b"123"),))),
        ("peer", messages.ClaimRequest(b"short", 2)),
        ("peer", messages.ForwardedPacket(FLOW._replace(caller_port=70000), 1, "open", 0, b"")),
        ("peer", messages.ForwardedPacket(FLOW._replace(service_address=b""), 1, "open", 0, b"")),
        ("peer", messages.ForwardedRequest(HEADER, b"", CallerAddress("127.0.0.1", -1), 0)),
        ("caller", caller_codec.RequestDatagram(HEADER._replace(part=1), b"")),
        ("caller", caller_codec.RequestDatagram(HEADER._replace(remaining_ms=-1), b"")),
        ("backend", frames.AnswerFrame(1, 2, 2, b"")),
        ("backend", frames.CancelFrame(-1)),
    ],
)
def test_values_out_of_range_are_rejected(codec, value):
    encode, decode, _ = CODECS[codec]
    with pytest.raises(DecodeError):
        decode(encode(value))


json_like = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.binary() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text() | st.integers(0, 9), inner),
    max_leaves=12,
)
arbitrary_bytes = st.binary() | st.lists(json_like, max_size=12).map(msgspec.msgpack.encode)
leading_fields = st.tuples(st.just(1), st.text(min_size=1), st.integers(0, 9), st.integers(0, 20))


@pytest.mark.parametrize("codec", CODECS)
@given(data=arbitrary_bytes)
def test_any_bytes_decode_or_raise_decode_error(codec, data):
    _assert_decodes_or_raises(codec, data)


@pytest.mark.parametrize("codec", CODECS)
@given(leading=leading_fields, fields=st.lists(json_like, max_size=8))
def test_any_fields_decode_or_raise_decode_error(codec, leading, fields):
    leading = leading if codec == "peer" else (leading[0], leading[3])
    _assert_decodes_or_raises(codec, msgspec.msgpack.encode([*leading, *fields]))


@pytest.mark.parametrize(("codec", "value"), CASES)
@given(data=st.data())
def test_any_corrupted_message_decodes_or_raises_decode_error(codec, value, data):
    encoded = bytearray(CODECS[codec][0](value))
    for _ in range(data.draw(st.integers(1, 3))):
        encoded[data.draw(st.integers(0, len(encoded) - 1))] = data.draw(st.integers(0, 255))
    _assert_decodes_or_raises(codec, bytes(encoded))


def test_deep_nesting_decodes_or_raises_decode_error():
    for codec in CODECS:
        _assert_decodes_or_raises(codec, b"\x91" * 5000 + b"\xc0")


def _assert_decodes_or_raises(codec, data):
    encode, decode, _ = CODECS[codec]
    try:
        value = decode(data)
    except DecodeError:
        return
    encode(value)
