#!/usr/bin/env bash
# Rolls out new versions of several services through real gateways: versions that are bad in each way are reverted within
# their part of the requests, a sound one is completed, with the store down at a verdict and with a writer killed.
# Usage: rollouts.sh <bin>
exec python3 "$(dirname "$0")/lib/rollout_session.py" "$@"
