#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 5 112 python3 review/9/case.py
