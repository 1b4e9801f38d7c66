#!/usr/bin/env bash
# The platform is paused, so that its answers are late or missing. A registration refused as not run must not have run; it
# is sent again through the other entry and must run once.
. "$(dirname "$0")/lib/Processes.sh"
begin_session "$1"
start_fleet
before=$(runs_of_service)
pause_process platform
answer=$(register "$ENTRY_1" order-1) && fail "a registration ran while the table was paused: $answer"
case $answer in *'"run":"no"'*) ;; *) fail "the refusal does not say that nothing ran: $answer" ;; esac
require "completions are served" is_served "$ENTRY_2" "a clause" 4
resume_process platform
sleep 1
require "the refused registration did not run later" [ "$(runs_of_service)" = "$before" ]
wait_until "the registration runs when it is sent again" 15 register "$ENTRY_2" order-1
first=$(register "$ENTRY_1" order-1) || fail "the recorded answer is not returned: $first"
second=$(register "$ENTRY_2" order-1) || fail "the recorded answer is not returned: $second"
require "both entries return the same answer" [ "$first" = "$second" ]
require "the registration ran once" [ "$(runs_of_service)" = "$((before + 1))" ]
echo "ok: one run, answers equal"
