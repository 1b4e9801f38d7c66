#!/usr/bin/env bash
# Sends more requests than an endpoint's stated limit through several gateways, one of which restarts: together they keep
# to it, other endpoints get the rest, and what nobody takes is refused at once. Usage: endpoint-limits.sh <bin>
exec python3 "$(dirname "$0")/lib/endpoint_limits.py" "$@"
