"""Guards against a daemon that starts with invalid settings or without peer authentication."""

import pytest

from redwingswitch._internal.exceptions import InvalidInputGroup
from redwingswitch._internal.settings import parse_settings, read_settings

KEY = "k" * 40
PLAIN = """\
host = "entry-1"
failure_domain = "hobart"
address = "127.0.0.1"
allow_plaintext = true
store_endpoints = ["http://127.0.0.1:2379", "http://127.0.0.2:2379/"]

[[seeds]]
host = "entry-2"
failure_domain = "bruny"
address = "127.0.0.2"
"""
KEYED = PLAIN.replace("allow_plaintext = true", f'secret_key = "{KEY}"').replace(
    '"127.0.0.2"\n', f'"10.0.0.2"\npublic_key = "{KEY}"\n'
)
PEERS = f'[[peers]]\nhost = "entry-2"\npublic_key = "{KEY}"\n'

# Valid text, part to replace, replacement, key path, part of the problem, line.
INVALID_CASES = [
    (PLAIN, 'host = "entry-1"\n', "", "host", "missing key", None),
    (PLAIN, '"entry-1"', "1", "host", "an integer found", 1),
    (PLAIN, '"127.0.0.1"', '"localhost"', "address", "not an IPv4 address", 3),
    (PLAIN, '"127.0.0.1"', '"10.0.0.1"', "allow_plaintext", "10.0.0.1 is not a loopback", 4),
    (PLAIN, '"127.0.0.2"\n', '"10.0.0.2"\n', "allow_plaintext", "10.0.0.2 is not a loopback", 4),
    (PLAIN, "true", "false", "secret_key_file", "there is no key", None),
    (PLAIN, "true", f'true\nsecret_key = "{KEY}"', "allow_plaintext", "secret key too", 4),
    (KEYED, f'secret_key = "{KEY}"', 'secret_key = "x"', "secret_key", "not a CURVE key", 4),
    (KEYED, f'public_key = "{KEY}"', 'public_key = "x"', "seeds[0].public_key", "not a CURVE", 11),
    (KEYED, f'public_key = "{KEY}"', "", "seeds[0].public_key", "there is no key", 7),
    (PLAIN, "[[seeds]]", f"{PEERS}{PEERS}[[seeds]]", "peers", "'entry-2' is listed twice", 7),
    (PLAIN, "[[seeds]]", '[[peers]]\nhost = "x"\n[[seeds]]', "peers[0].public_key", "missing", 7),
    (PLAIN, "http://127.0.0.1:2379", "127.0.0.1:2379", "store_endpoints", "127.0.0.1", 5),
    (PLAIN, "http://127.0.0.1:2379", "http://127.0.0.1", "store_endpoints", "no port", 5),
    (PLAIN, "http://127.0.0.1:2379", "http://store:2379", "store_endpoints", "store", 5),
    (PLAIN, '"http://127.0.0.1:2379"', "7", "store_endpoints[0]", "an integer found", 5),
    (PLAIN, "store_endpoints =", "store =", "store", "unknown key", 5),
    (PLAIN, "store_endpoints =", "store =", "store_endpoints", "no endpoint", None),
    (PLAIN, "true", "true\ngrace_period_s = 0", "grace_period_s", "out of bounds", 5),
    (PLAIN, "true", 'true\nlog_level = "loud"', "log_level", "'loud' is unknown", 5),
    (PLAIN, "true", "true\npeer_port = 7401", "admin_port", "equal to peer_port", None),
    (PLAIN, "true", "true\nrequest_port = 7201", "request_port", "equal to data_port", 5),
    (PLAIN, "true", 'true\nsecret_key_file = "absent"', "secret_key_file", "cannot be read", 5),
    (PLAIN, "true", "true\n=", "(syntax)", "Invalid", 5),
    # Each of these raised ValueError, RecursionError or OverflowError.
    (PLAIN, "true", 'true\nsecret_key_file = "a\\u0000"', "secret_key_file", "cannot be read", 5),
    (PLAIN, "true", "true\nseeds = " + "[" * 5_000, "(syntax)", "nested", 5),
    (PLAIN, "true", "true\ngrace_period_s = " + "9" * 5_000, "(syntax)", "characters", 5),
    (PLAIN, "true", "true\ngrace_period_s = " + "9" * 900, "grace_period_s", "64 bits", 5),
    (PLAIN, "1:2379", "1:" + "9" * 5_000, "store_endpoints", "127.0.0.1", 5),
]


@pytest.mark.parametrize("case", INVALID_CASES)
def test_invalid_settings_are_rejected_with_their_line(case, tmp_path):
    base, old, new, key_path, words, line = case
    assert old in base
    with pytest.raises(InvalidInputGroup) as caught:
        parse_settings(text=base.replace(old, new, 1), file="s.toml", directory=tmp_path)
    found = [e.finding for e in caught.value.exceptions]
    matching = [f for f in found if f.key_path == key_path and words in f.problem]
    assert [f.line for f in matching] == [line]


def test_valid_settings_and_their_defaults(tmp_path):
    settings = parse_settings(text=PLAIN, file="s.toml", directory=tmp_path)
    assert settings.store_endpoints == ("http://127.0.0.1:2379", "http://127.0.0.2:2379")
    assert (settings.peer_port, settings.seeds[0].peer_port) == (7101, 7101)
    assert settings.grace_deadline_ms(1_000) == 61_000


@pytest.mark.parametrize(
    ("mode", "content", "words"),
    [
        (0o600, f"{KEY}\n", None),
        (0o640, f"{KEY}\n", "other users"),
        (0o600, "short\n", "not a CURVE key"),
        (0o600, "é", "cannot be read"),
    ],
)
def test_a_key_file_must_be_private_and_hold_a_key(mode, content, words, tmp_path):
    (tmp_path / "key").write_text(content)
    (tmp_path / "key").chmod(mode)
    path = tmp_path / "s.toml"
    path.write_text(KEYED.replace(f'secret_key = "{KEY}"', 'secret_key_file = "key"'))
    if words is None:
        assert read_settings(path).secret_key == KEY
        return
    with pytest.raises(InvalidInputGroup) as caught:
        read_settings(path)
    assert words in str(caught.value.exceptions[0])


@pytest.mark.parametrize(
    ("content", "words"),
    [(None, "cannot be read"), (b"\xff", "not UTF-8"), (b"#" * 1_000_001, "more")],
)
def test_an_unreadable_file_is_a_finding(content, words, tmp_path):
    path = tmp_path / "s.toml"
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(InvalidInputGroup) as caught:
        read_settings(path)
    assert words in str(caught.value.exceptions[0])
