#!/usr/bin/env bash
# Engines crash one after the other because several gateways, one of them restarted, send them prompts with a deadly part.
exec python3 "$(dirname "$0")/lib/deadly_part_session.py" "$1"
