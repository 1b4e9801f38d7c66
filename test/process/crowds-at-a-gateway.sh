#!/usr/bin/env bash
# Guards against callers that nobody controls: what they send ahead, never complete or never read must neither end a gateway,
# nor take it over its memory and descriptors, nor keep an ordinary caller from an answer. Usage: crowds-at-a-gateway.sh <bin>
exec python3 "$(dirname "$0")/lib/crowds_at_a_gateway.py" "$@"
