"""Guards against peer messages that are accepted from the wrong host or lost by the adapter."""

import pytest
import zmq

from redwingswitch._internal.exceptions import PeerSecurityError
from redwingswitch._internal.models.messages import RevisionOffer
from redwingswitch._internal.network.peers import (
    PeerAddress,
    PeerKeys,
    PeerSockets,
)
from tests.lib.loops import Recorder, run, wait_until

OFFER = RevisionOffer(3, "digest")
LATER_OFFER = RevisionOffer(4, "digest")
KEYS = {name: PeerKeys(*(k.decode() for k in zmq.curve_keypair())) for name in "abc"}


class Host:
    """A host's sockets with recorders."""

    def __init__(self, name, *, keys, address="127.0.0.1", allow_plaintext=False):
        self.messages, self.refused, self.sent = Recorder(), Recorder(), Recorder()
        self.sockets = PeerSockets(
            host=name,
            incarnation=7,
            address=address,
            port=0,
            keys=keys,
            allow_plaintext=allow_plaintext,
            on_message=self.messages,
            on_refused=self.refused,
            on_sent=self.sent,
        )
        self.peer_address = PeerAddress(name, "127.0.0.1", self.sockets.port, keys.public_key)


async def send_until_queued(host, to, message):
    # A message sent before the connection is established is dropped by design, so it is repeated.
    await wait_until(lambda: host.sockets.send(to, message))


@pytest.mark.parametrize("encrypted", [True, False])
def test_messages_arrive_in_order_with_sender_and_incarnation(encrypted):
    async def body():
        keys = KEYS if encrypted else dict.fromkeys("ab", PeerKeys())
        a, b = (Host(n, keys=keys[n], allow_plaintext=not encrypted) for n in "ab")
        a.sockets.update_peers([a.peer_address, b.peer_address])
        b.sockets.update_peers([a.peer_address, b.peer_address])
        await send_until_queued(a, "b", OFFER)
        a.sockets.set_incarnation(8)
        await send_until_queued(a, "b", LATER_OFFER)
        assert await b.messages.next() == ("a", 7, OFFER)
        assert await b.messages.next() == ("a", 8, LATER_OFFER)
        message, size_bytes = await a.sent.next()
        assert message == OFFER and size_bytes > 0
        a.sockets.close()
        b.sockets.close()

    run(body())


@pytest.mark.parametrize(
    ("sender_keys", "sender_name", "reason"),
    [("c", "c", None), ("c", "a", None), ("a", "c", "not listed for it")],
    ids=["unlisted key", "unlisted key under a listed name", "listed key under another name"],
)
def test_a_wrong_key_is_refused(sender_keys, sender_name, reason):
    async def body():
        a, b = (Host(n, keys=KEYS[n]) for n in "ab")
        unauthorized_host = Host(sender_name, keys=KEYS[sender_keys])
        b.sockets.update_peers([a.peer_address])
        a.sockets.update_peers([b.peer_address])
        unauthorized_host.sockets.update_peers([b.peer_address])
        if reason is None:
            # The handshake fails, so the connection is never established; the later message of a
            # listed host shows that the listener was up meanwhile.
            for _ in range(20):
                assert not unauthorized_host.sockets.send("b", OFFER)
                await send_until_queued(a, "b", LATER_OFFER)
                assert (await b.messages.next()).message == LATER_OFFER
        else:
            await send_until_queued(unauthorized_host, "b", OFFER)
            assert reason in await b.refused.next()
        assert b.messages.empty
        for host in (a, b, unauthorized_host):
            host.sockets.close()

    run(body())


def test_a_host_that_was_refused_connects_once_it_is_listed():
    # libzmq does not retry a connection whose key the peer rejected.
    async def body():
        a, b = (Host(n, keys=KEYS[n]) for n in "ab")
        a.sockets.update_peers([b.peer_address])
        refusals = Recorder()
        is_listed_key = b.sockets.is_listed_key

        def refuse_and_record(key):
            refusals(key)
            return is_listed_key(key)

        b.sockets.is_listed_key = refuse_and_record
        a.sockets.send("b", OFFER)
        assert await refusals.next() == a.peer_address.public_key
        b.sockets.update_peers([a.peer_address])
        await send_until_queued(a, "b", OFFER)
        assert (await b.messages.next()).message == OFFER
        a.sockets.close()
        b.sockets.close()

    run(body())


def test_a_removed_peer_is_refused_on_its_open_connection():
    async def body():
        a, b = (Host(n, keys=KEYS[n]) for n in "ab")
        a.sockets.update_peers([b.peer_address])
        b.sockets.update_peers([a.peer_address])
        await send_until_queued(a, "b", OFFER)
        await b.messages.next()
        b.sockets.update_peers([])
        await send_until_queued(a, "b", LATER_OFFER)
        assert "not listed" in await b.refused.next()
        assert b.messages.empty
        a.sockets.close()
        b.sockets.close()

    run(body())


def test_malformed_messages_are_refused_and_the_next_one_arrives():
    async def body():
        b = Host("b", keys=PeerKeys(), allow_plaintext=True)
        a = Host("a", keys=PeerKeys(), allow_plaintext=True)
        a.sockets.update_peers([b.peer_address])
        raw = zmq.Context.instance().socket(zmq.DEALER)
        raw.connect(f"tcp://127.0.0.1:{b.peer_address.port}")
        raw.send_multipart([b"one", b"two"])
        raw.send(b"\xc1")
        assert "one frame" in await b.refused.next()
        assert "msgpack" in await b.refused.next()
        await send_until_queued(a, "b", OFFER)
        assert (await b.messages.next()).message == OFFER
        raw.close(linger=0)
        a.sockets.close()
        b.sockets.close()

    run(body())


def test_a_send_that_cannot_leave_returns_false():
    async def body():
        a = Host("a", keys=KEYS["a"])
        a.sockets.update_peers([PeerAddress("gone", "127.0.0.1", 1, KEYS["b"].public_key)])
        assert not a.sockets.send("unknown", OFFER)
        assert not a.sockets.send("gone", OFFER)
        assert a.sent.empty
        a.sockets.close()

    run(body())


@pytest.mark.parametrize(
    ("keys", "address", "allow_plaintext", "peer"),
    [
        (PeerKeys(), "127.0.0.1", False, None),
        (PeerKeys(), "0.0.0.0", True, None),
        (PeerKeys(), "127.0.0.1", True, PeerAddress("b", "192.0.2.1", 1, "")),
        (KEYS["a"], "127.0.0.1", True, PeerAddress("b", "127.0.0.1", 1, "")),
    ],
    ids=["not allowed", "bound beyond loopback", "peer beyond loopback", "peer without key"],
)
def test_plaintext_beyond_its_conditions_is_refused(keys, address, allow_plaintext, peer):
    async def body():
        host = Host("a", keys=keys, address=address, allow_plaintext=allow_plaintext)
        try:
            host.sockets.update_peers([peer])
        finally:
            host.sockets.close()

    with pytest.raises(PeerSecurityError):
        run(body())
