#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption; TROUBLE=1, the default, plays it.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}"
case "$TROUBLE" in
    0 | 1) ;;
    *) echo "TROUBLE must be 0 or 1" >&2 && exit 2 ;;
esac
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review/standins \
    timeout -k 5 110 python3 -S review/4/case.py --trouble="$TROUBLE"
# A failure of the script itself, which Python reports with 1, must not look like a broken rule.
case $? in
    10) exit 1 ;;
    0) exit 0 ;;
    *) exit 2 ;;
esac
