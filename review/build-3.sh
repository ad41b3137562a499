#!/bin/sh
# Builds what the scripts of the third review start besides the program of the deploy file. The
# stand-ins are Python modules of the standard library alone, so this only checks that they compile.
set -eu
cd "$(dirname "$0")"
for file in tools-3/*.py 1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -S -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
