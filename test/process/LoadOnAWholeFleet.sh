#!/usr/bin/env bash
# A whole deployment answers a light load while a zone is out and back: nothing lost, doubled or stopped uncleanly.
set -eu
exec "$(dirname "$0")/../../scripts/run-fleet" "$1" verband --cold-start --scenario zone --rate 6 --length 6 \
    --longest 60 --port 25800
