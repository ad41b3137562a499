#!/bin/sh
# Puts the program and its pinned libraries under target/deps, which is on Python's path.
set -eu
target=target/deps
stamp=target/requirements.installed
mkdir -p target
if ! cmp -s deploy/requirements.txt "$stamp"; then
    rm -rf "$target"
    python3 -m pip install --quiet --disable-pip-version-check --target "$target" \
        --requirement deploy/requirements.txt --constraint constraints.txt
    cp deploy/requirements.txt "$stamp"
fi
rm -rf "$target/redwingswitch"
cp -R src/redwingswitch "$target/redwingswitch"
# Each start would otherwise compile the modules again: hosts have read-only files.
python3 -m compileall -q "$target"
