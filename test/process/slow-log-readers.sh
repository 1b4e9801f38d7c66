#!/usr/bin/env bash
# Stops gateways whose log nobody reads, or somebody reads slowly: they leave in time, and their log tells what is missing.
# Usage: slow-log-readers.sh <bin>
exec python3 "$(dirname "$0")/lib/slow_log_readers.py" "$@"
