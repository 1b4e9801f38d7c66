# Starts the processes of a deployment on loopback for one session and kills them when the script exits. To be sourced;
# the script passes the folder of the binaries: begin_session "$1".
set -u

readonly START_TIMEOUT_S=10
readonly CALL_TIMEOUT_S=20
readonly FIRST_PORT=22000
readonly PORTS_PER_SESSION=20
readonly SESSION_SLOTS=45
declare -A PIDS=()

fail()
{
    for log in "$FOLDER"/*.log; do
        echo "--- end of $(basename "$log")"
        tail -n 8 "$log"
    done
    echo "FAILED: $*"
    exit 1
}

# Kills the started processes by their ids. SIGKILL, because a paused process does not handle SIGTERM.
end_session()
{
    trap '' INT TERM HUP
    for name in "${!PIDS[@]}"; do
        kill -KILL "${PIDS[$name]}" 2> /dev/null
    done
    wait 2> /dev/null
    rm -rf "$FOLDER"
}

# Reserves a range of ports that no other session uses; the lock is held until this script exits.
reserve_ports()
{
    local slot=$((RANDOM % SESSION_SLOTS)) tried
    for ((tried = 0; tried < SESSION_SLOTS; tried++)); do
        slot=$(((slot + 1) % SESSION_SLOTS))
        exec 9> "${TMPDIR:-/tmp}/teaselfold-session-$slot.lock"
        flock -n 9 && break
    done
    [ "$tried" -lt "$SESSION_SLOTS" ] || fail "no free range of ports"
    BASE=$((FIRST_PORT + slot * PORTS_PER_SESSION))
}

address() { echo "127.0.0.1:$((BASE + $1))"; }

begin_session()
{
    BINARIES=$(cd "$1" && pwd)
    FOLDER=$(mktemp -d "${TMPDIR:-/tmp}/teaselfold-session-XXXXXX")
    trap end_session EXIT
    trap 'exit 1' INT TERM HUP
    reserve_ports
    PLATFORM=$(address 0)
    SERVICE=$(address 1)
    ENGINE_A=$(address 2)
    ENGINE_B=$(address 3)
    LINK_A=$(address 4)
    LINK_B=$(address 5)
    LINK_REGISTRY=$(address 6)
    ENTRY_1=$(address 7)
    ENTRY_2=$(address 8)
    ADMIN_1=$(address 9)
    ADMIN_2=$(address 10)
}

start_process()
{
    local name=$1
    shift
    "$BINARIES/$1" "${@:2}" >> "$FOLDER/$name.log" 2>&1 9>&- < /dev/null &
    PIDS[$name]=$!
    disown
}

send_signal() { kill "-$1" "${PIDS[$2]}" || fail "cannot signal $2"; }

kill_process()
{
    disown "${PIDS[$1]}" 2> /dev/null
    send_signal KILL "$1"
    while kill -0 "${PIDS[$1]}" 2> /dev/null; do sleep 0.05; done
    unset "PIDS[$1]"
}

pause_process() { send_signal STOP "$1"; }
resume_process() { send_signal CONT "$1"; }

# wait_until <what> <seconds> <command...>: runs the command until it succeeds.
wait_until()
{
    local what=$1 end=$((SECONDS + $2))
    shift 2
    until "$@" > /dev/null 2>&1; do
        [ "$SECONDS" -lt "$end" ] || fail "$what: timed out"
        sleep 0.1
    done
}

require()
{
    local what=$1
    shift
    "$@" || fail "$what"
}

http_request() { curl -s -m "$CALL_TIMEOUT_S" "$@"; }
status_of() { http_request -o /dev/null -w '%{http_code}' "$@"; }
has_status() { [ "$(status_of "${@:2}")" = "$1" ]; }

start_platform() { start_process platform standin-platform --listen "$PLATFORM"; }
start_engine() { start_process "engine-$1" standin-engine --listen "$2" --seed "$3"; }

start_agent()
{
    printf 'endpoint: %s\nzone: %s\nlink: %s\nadmin: %s\nplatform: %s\n%s\n' \
        "$1" "$2" "$3" "$(address "$4")" "$PLATFORM" "$5" > "$FOLDER/$1.yaml"
    start_process "$1" teaselfold-agent --config "$FOLDER/$1.yaml"
}

start_entry()
{
    printf 'instance: entry-%s\nzone: %s\nregion: kigali\ncallers: %s\nadmin: %s\nplatform: %s\n%s\n' \
        "$1" "$2" "$3" "$4" "$PLATFORM" "admin_tokens_required: false" > "$FOLDER/entry-$1.yaml"
    echo "${ENTRY_SETTINGS:-}" >> "$FOLDER/entry-$1.yaml"
    start_process "entry-$1" teaselfold-entry --config "$FOLDER/entry-$1.yaml"
}

write_note()
{
    cat > "$FOLDER/note.yaml" << NOTE
id: note-1
base: 0
author: a.person
reason: first fleet
added:
  zones: [{id: kgl-a, region: kigali}, {id: kgl-b, region: kigali}]
  services:
    - {id: fold-drafters, kind: model}
    - {id: order-registry, kind: plain, non_repeatable: [{method: POST, path_prefix: /orders}]}
  models: [{id: drafter, service: fold-drafters, version: "1"}]
  endpoints:
    - {id: drafter-a, zone: kgl-a, service: fold-drafters, agent: "$LINK_A"}
    - {id: drafter-b, zone: kgl-b, service: fold-drafters, agent: "$LINK_B"}
    - {id: registry-1, zone: kgl-b, service: order-registry, agent: "$LINK_REGISTRY"}
  teams: [{id: huye, weight: 1}]
NOTE
}

ctl() { "$BINARIES/teaselfoldctl" --entry "$ADMIN_1" --entry "$ADMIN_2" "$@" 9>&-; }

# Starts a whole deployment: platform, plain service, two engines, three agents, two entries and a release note in force.
start_fleet()
{
    start_platform
    start_process service standin-service --listen "$SERVICE"
    start_engine a "$ENGINE_A" 1
    start_engine b "$ENGINE_B" 2
    start_agent drafter-a kgl-a "$LINK_A" 11 "engine: $ENGINE_A"
    start_agent drafter-b kgl-b "$LINK_B" 12 "engine: $ENGINE_B"
    start_agent registry-1 kgl-b "$LINK_REGISTRY" 13 "service: $SERVICE"
    start_entry 1 kgl-a "$ENTRY_1" "$ADMIN_1"
    start_entry 2 kgl-b "$ENTRY_2" "$ADMIN_2"
    write_note
    wait_until "the note is accepted" "$START_TIMEOUT_S" ctl publish "$FOLDER/note.yaml"
    wait_until "entry 1 is ready" "$START_TIMEOUT_S" has_status 200 "$ADMIN_1/readyz"
    wait_until "entry 2 is ready" "$START_TIMEOUT_S" has_status 200 "$ADMIN_2/readyz"
    wait_until "completions are answered" "$START_TIMEOUT_S" complete "$ENTRY_1" warm 2
    wait_until "completions are answered" "$START_TIMEOUT_S" complete "$ENTRY_2" warm 2
    wait_until "registrations are answered" "$START_TIMEOUT_S" register "$ENTRY_1" warm-up
}

# The stand-in engine reads the number of tokens from the prompt.
completion_body() { printf '{"model":"drafter","prompt":"%s len=%s","stream":%s}' "$1" "$2" "$3"; }

# complete <entry> <prompt> <tokens>: requests a whole answer; fails unless it has a text.
complete()
{
    local answer
    answer=$(http_request -H 'Teaselfold-Team: huye' -d "$(completion_body "$2" "$3" false)" "$1/v1/completions")
    case $answer in *'"text":"'?*) return 0 ;; *) echo "$answer" && return 1 ;; esac
}

is_refusal() { case $1 in *'"run":"no"'*) return 0 ;; *) return 1 ;; esac; }

# is_served <entry> <prompt> <tokens>: like complete, but retries while the request is refused as not run.
is_served()
{
    local answer end=$((SECONDS + START_TIMEOUT_S))
    until answer=$(complete "$@"); do
        is_refusal "$answer" && [ "$SECONDS" -lt "$end" ] || { echo "$answer" && return 1; }
        sleep 0.2
    done
}

# open_stream <entry> <prompt> <tokens> <file>: requests a stream in the background.
open_stream()
{
    curl -sN -m 60 -H 'Teaselfold-Team: huye' -d "$(completion_body "$2" "$3" true)" "$1/v1/completions" \
        > "$4" 2> /dev/null 9>&- &
    PIDS[stream]=$!
}

stream_ended() { ! kill -0 "${PIDS[stream]}" 2> /dev/null; }

# begin_stream <entry> <prompt> <tokens> <file> <count>: opens a stream, retries while it is refused as not run, and waits
# for its first <count> tokens.
begin_stream()
{
    local end=$((SECONDS + START_TIMEOUT_S))
    open_stream "$@"
    until has_tokens "$5" "$4"; do
        [ "$SECONDS" -lt "$end" ] || fail "the stream does not start: $(cat "$4")"
        if stream_ended && is_refusal "$(cat "$4")"; then
            await_stream
            open_stream "$@"
        fi
        sleep 0.05
    done
}

# await_stream: waits for the end of the background stream.
await_stream()
{
    wait "${PIDS[stream]}" 2> /dev/null
    unset "PIDS[stream]"
}

event_ids() { sed -n 's/^id: *//p' "$1" | tr -d '\r'; }
has_tokens() { [ "$(event_ids "$2" | wc -l)" -ge "$1" ]; }
endpoint_of() { event_ids "$1" | head -n 1 | cut -d: -f1; }

# Whether the stream has each token once, in order, from one generation, and its end marker.
is_complete_stream()
{
    local count
    count=$(event_ids "$1" | wc -l)
    [ "$count" -gt 0 ] && grep -q '^data: *\[DONE\]' "$1" \
        && [ "$(event_ids "$1" | sed 's/.*://' | tr '\n' ' ')" = "$(seq 0 $((count - 1)) | tr '\n' ' ')" ] \
        && [ "$(event_ids "$1" | cut -d: -f1,2 | sort -u | wc -l)" -eq 1 ]
}

# register <entry> <key>: prints the answer; fails unless it is a success.
register()
{
    local answer
    answer=$(http_request -w '\n%{http_code}' -H 'Teaselfold-Team: huye' -H "Idempotency-Key: $2" -d "{\"order\":\"$2\"}" \
        "$1/services/order-registry/orders")
    echo "$answer"
    case $answer in *$'\n'2??) return 0 ;; *) return 1 ;; esac
}

runs_of_service() { http_request "$SERVICE/runs" | sed 's/.*"total": *\([0-9]*\).*/\1/'; }
running_generations() { http_request "$1/load" | sed 's/.*"running":\([0-9]*\).*/\1/'; }
is_idle() { [ "$(running_generations "$1")" = 0 ]; }
zone_is_out() { http_request "$1/admin/status" | tr -d ' \n' | grep -q "{[^{}]*\"id\":\"$2\"[^{}]*\"out\":true"; }
