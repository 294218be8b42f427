#!/bin/bash
# One submission that can never be done, in a deployment whose servers also run tasks that last.
#
# Eight servers run one lasting task each. Twenty-four submissions of two quick tasks are done. Then comes one submission whose tasks fail by their
# own fault on every server (TROUBLE=0: without it), and then ten more submissions of quick tasks. Exits with 1 if one of these isn't started
# for over 17 s (finish_s and 3 s) although over nine tenths of the capacity are free, 0 if all are completed, 2 if the case couldn't run.

set -u
here=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=review/standins-2/cell.sh
. "$here/../standins-2/cell.sh"
trouble=${TROUBLE:-1}

route() {
    echo '{"name":"'"$1"'","host":"a.example","path_prefix":"/'"$1"'/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":250,"priority":'"$2"',"service":"pool","max_attempts":3,"stretch":1.5}'
}
service='{"name":"pool","health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"admission_check":false,"spare":false}'
config='{"version":7,"routes":['$(route quick 0),$(route watch 1)'],"services":['$service'],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}'
quick='{"task_spec":"quick","steps":[{"count":2,"cpu":500,"requested_memory_mb":100,"estimated_ms":300}]}'
lasting='{"task_spec":"lasting","steps":[{"count":8,"cpu":200,"requested_memory_mb":100,"estimated_ms":400,"long_running":true,"anti_affinity":1}]}'
hopeless='{"task_spec":"hopeless","steps":[{"count":10,"cpu":1800,"requested_memory_mb":100,"estimated_ms":200}]}'

# await STATE QUEUE ID SECONDS: returns 1 if the state isn't reached in time.
await() {
    local until_ms=$(($(now) + $4 * 1000))
    while [ "$(now)" -lt "$until_ms" ]; do
        call GET "$2" "$3"
        case $reply in *"\"state\":\"$1\""*) return 0 ;; esac
        sleep 1
    done
    return 1
}

# submit QUEUE ID BODY: sends a submission until it is accepted.
submit() {
    for _ in 1 2 3 4 5 6 7 8; do
        call POST "$1" "$2" "$3"
        [ "${reply%% *}" = 200 ] && return 0
        sleep 0.3
    done
    return 1
}

for core in 1 2 3; do start_core $core; done
for entry in 1 2; do start_entry $entry; done
start_servers 8
configure 7 "$config" || finish 2

submit watch 1a57000000000001 "$lasting" || finish 2
for _ in $(seq 20); do
    [ "$(grep -c ' started ' "$work/servers.log")" -ge 8 ] && break
    sleep 0.5
done
[ "$(grep ' started ' "$work/servers.log" | cut -d' ' -f3 | sort -u | wc -l)" = 8 ] || { note "the lasting tasks don't run on eight servers"; finish 2; }
note "one lasting task runs on each of the eight servers"

for number in $(seq 24); do submit quick "$(printf '00000000000001%02d' "$number")" "$quick" || finish 2; done
for number in $(seq 24); do await completed quick "$(printf '00000000000001%02d' "$number")" 15 || finish 2; done
note "24 submissions are completed"

if [ "$trouble" != 0 ]; then
    submit quick bad0000000000001 "$hopeless" || finish 2
    await failed quick bad0000000000001 12 || note "the submission that can't be done isn't shown as failed after 12 s"
else
    sleep 12
fi

for number in $(seq 10); do submit quick "$(printf '00000000000002%02d' "$number")" "$quick" || finish 2; done
note "10 more submissions are accepted"
sleep 18
missing=0
for number in $(seq 10); do
    id=$(printf '00000000000002%02d' "$number")
    call GET quick "$id"
    case $reply in *'"state":"completed"'*) continue ;; esac
    grep -q " started .* $id\." "$work/servers.log" || missing=$((missing + 1))
done
call GET quick ""
note "$missing of 10 submissions have started nothing 18 s after they were accepted; 1,600 of 32,000 thousandths of a core are in use"
[ $missing -gt 0 ] && finish 1
finish 0
