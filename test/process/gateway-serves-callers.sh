#!/usr/bin/env bash
# A gateway with real sockets between stand-ins of the prepared platform: kept connections, refused ambiguity, a stream that
# outlives its engine, callers and endpoints that leave, a store that is away, keys taken away, a stop.
exec python3 "$(dirname "$0")/lib/gateway_session.py" "$1"
