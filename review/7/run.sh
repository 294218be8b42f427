#!/bin/bash
# A server hangs for 4 s (TROUBLE=0: it doesn't), and is to leave meanwhile.
#
# Ten servers, tasks of 3 s. With its first start the first server hangs: it answers no order for 4 s and executes none of them, while its
# heartbeats go on. At once it also announces that it drains, and it leaves 6 s after the confirmation. Exits with 1 if it is started anything more
# than drain_ms (2 s) after that confirmation, 0 if it isn't, 2 if the case couldn't run.

set -u
here=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=review/standins-2/cell.sh
. "$here/../standins-2/cell.sh"
trouble=${TROUBLE:-1}
drain_ms=2000

route='{"name":"quick","host":"a.example","path_prefix":"/quick/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":250,"priority":0,"service":"pool","max_attempts":3,"stretch":1.5}'
service='{"name":"pool","health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"admission_check":false,"spare":false}'
config='{"version":7,"routes":['$route'],"services":['$service'],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}'
slow='{"task_spec":"slow","steps":[{"count":10,"cpu":500,"requested_memory_mb":100,"estimated_ms":3000,"anti_affinity":1}]}'

for core in 1 2 3; do start_core $core; done
for entry in 1 2; do start_entry $entry; done
hang=4000
[ "$trouble" = 0 ] && hang=0
start_servers 10 $hang
note "the first server will hang for $hang ms"
configure 7 "$config" || finish 2
sleep 3

# Each task of a submission runs on a server of its own.
for number in $(seq 6); do
    call POST quick "$(printf '51040000000001%02d' "$number")" "$slow"
    sleep 1
done
sleep 12

confirmed=$(awk '$2 == "drain-confirmed" { print $1; exit }' "$work/servers.log")
[ -n "$confirmed" ] || { note "the server's drain was never confirmed"; finish 2; }
late=$(awk -v confirmed="$confirmed" -v bound=$drain_ms '$2 == "started" && $3 == "i-1-1" && $1 > confirmed + bound { ++late } END { print late + 0 }' "$work/servers.log")
note "starts on the draining server more than $drain_ms ms after its drain was confirmed: $late"
awk -v confirmed="$confirmed" '$3 == "i-1-1" { print "    " $1 - confirmed " ms after the confirmation: " $2, $4, $5, $6 }' "$work/servers.log" >>"$record"
[ "$late" -gt 0 ] && finish 1
finish 0
