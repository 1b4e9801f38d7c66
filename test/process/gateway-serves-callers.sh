#!/usr/bin/env bash
# Runs a gateway over real sockets against stand-ins of the prepared platform: persistent connections, ambiguous requests,
# stream failover, disconnecting callers, draining endpoints, a store outage, revoked keys and a planned stop.
exec python3 "$(dirname "$0")/lib/gateway_session.py" "$1"
