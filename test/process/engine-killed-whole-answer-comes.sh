#!/usr/bin/env bash
# The engine that generates a whole answer is killed. The caller must still get a complete answer.
. "$(dirname "$0")/lib/Processes.sh"
begin_session "$1"
start_fleet
is_served "$ENTRY_1" "a long draft" 300 > "$FOLDER/answer" 9>&- &
PIDS[caller]=$!
wait_until "an engine runs the request" 10 eval '! is_idle "$ENGINE_A" || ! is_idle "$ENGINE_B"'
if is_idle "$ENGINE_A"; then kill_process engine-b; else kill_process engine-a; fi
wait "${PIDS[caller]}" || fail "no complete answer: $(cat "$FOLDER/answer")"
unset "PIDS[caller]"
require "other requests are served" is_served "$ENTRY_2" "a clause" 4
echo "ok: the complete answer came from the other engine"
