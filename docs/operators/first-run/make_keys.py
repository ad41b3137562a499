"""Copy the files of the first run to a directory, with a new CURVE key pair for each entry host.

Usage: python make_keys.py DIRECTORY
"""

from __future__ import annotations

import os
import sys
from pathlib import Path

import zmq

HOSTS = ("entry-1", "entry-2", "entry-3")
OWNER_ONLY = 0o600


def make_files(target: Path) -> None:
    """Write the secret keys and the files that state the public keys."""
    target.mkdir(parents=True, exist_ok=True)
    public_keys = {host: _write_key(target / f"{host}.key") for host in HOSTS}
    for source in Path(__file__).parent.glob("*.toml"):
        text = source.read_text()
        for host, key in public_keys.items():
            text = text.replace(f"KEY-OF-{host}", key)
        (target / source.name).write_text(text)


def _write_key(path: Path) -> str:
    """Write a secret key that only its owner may read, and return the public key."""
    public, secret = zmq.curve_keypair()
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, OWNER_ONLY)
    with os.fdopen(descriptor, "wb") as opened:
        opened.write(secret)
    return str(public.decode("ascii"))


if __name__ == "__main__":
    make_files(Path(sys.argv[1]))
