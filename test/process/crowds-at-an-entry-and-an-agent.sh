#!/usr/bin/env bash
# Guards against callers that nobody controls at an entry and an agent: what they send, never complete or never read must
# neither end a process, nor take it over its memory and descriptors, nor keep an ordinary caller from an answer.
# Usage: crowds-at-an-entry-and-an-agent.sh <bin>
. "$(dirname "$0")/lib/Processes.sh"
begin_session "$1"
ENTRY_SETTINGS=$'caller_threads: 64\ncaller_idle_limit: 3s\nmax_body_bytes: 1048576'
if "$BINARIES/teaselfold-entry" --help | grep -q body_memory_mb; then
    ENTRY_SETTINGS+=$'\nbody_memory_mb: 24'
fi
start_fleet
python3 "$(dirname "$0")/lib/crowds_at_an_entry.py" "${PIDS[entry-1]}" "$ENTRY_1" "$ADMIN_1" "${PIDS[drafter-a]}" "$LINK_A" \
    "$(address 11)" "${@:2}" || fail "a crowd was too much"
