#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 it
# does the same without the restarts.
TROUBLE=${TROUBLE:-1}
export TROUBLE
cd "$(dirname "$0")" || exit 2
python3 case.py
case $? in
    10) exit 1 ;;
    0) exit 0 ;;
    *) exit 2 ;;
esac
