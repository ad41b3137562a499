#!/bin/sh
# Prepares the stand-ins of the scripts. The project's own are part of the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -c "import redwingswitch._internal.platform.standins.site"
python3 -m compileall -q review
