#!/usr/bin/env bash
# Stops gateways among callers that keep on, signals, planned work and trouble of the store: no request is lost, no
# refusal is false, and no gateway needs a SIGKILL. Usage: planned-stops.sh <bin> [first seed] [count] [--keep FOLDER]
exec python3 "$(dirname "$0")/lib/planned_stops.py" "$@"
