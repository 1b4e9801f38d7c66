#!/usr/bin/env bash
# A whole deployment serves a light load while a zone is taken out and brought back. No answer may be lost or duplicated,
# and every process must stop cleanly.
set -eu
exec "$(dirname "$0")/../../scripts/run-fleet" "$1" verband --cold-start --scenario zone --rate 6 --length 6 \
    --longest 60 --port 25800
