#!/bin/sh
# Shows the case on the real clock; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && exec python3 -S case.py
