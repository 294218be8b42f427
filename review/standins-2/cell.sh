# Functions of the cases' scripts: a small deployment of real processes on loopback addresses. Sourced by review/*/run.sh.
#
# The caller sets `here` (its folder). Offers: start_core N, start_entry N, start_servers N, request, note, finish, and `net`, `work`, `record`.

root=$(cd "$here/../.." && pwd)
program=$root/target/paddlepier
servers=$root/target/review-2/servers
record=$here/record.txt
work=$(mktemp -d) || exit 2
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
controls="$net.1:8161 $net.2:8161 $net.3:8161"
declare -A pids=()

now() { date +%s%3N; }
began=$(now)
note() { printf '%8.3f s  %s\n' "$(now | awk -v began="$began" '{ print ($1 - began) / 1000 }')" "$*" >>"$record"; }

# finish STATUS: ends all processes that were started.
finish() {
    for name in "${!pids[@]}"; do kill -CONT "${pids[$name]}" 2>/dev/null; kill -KILL "${pids[$name]}" 2>/dev/null; done
    wait 2>/dev/null
    [ -f "$work/servers.log" ] && { echo; echo "what the servers ran (milliseconds since 1970):"; cat "$work/servers.log"; } >>"$record"
    rm -rf "$work"
    exit "$1"
}
trap 'finish 2' INT TERM

# settings NAME ROLE CLASS SERVES HOST LISTEN [DATA]
settings() {
    cat >"$work/$1.toml" <<SETTINGS
node_name = "$1"
role = "$2"
machine_class = "$3"
serves = ["$4"]
ip_address = "$5"
zone = "z"
region = "r"
internal_port_range = [7720,7735]
seeds = ["$net.1:8161","$net.2:8161","$net.3:8161"]
first_start = true
discovery = "registry"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched"]
config_mode = "highest"
orders = "call"
${7:-}
[zones]
z = "r"
[listen_addresses]
$6
[tolerate]
machines = 1
zones = 1
regions = 0
[bounds]
contact_ms = 3000
acknowledge_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
max_hold_ms = 10000
stop_grace_ms = 200
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
SETTINGS
}

# launch NAME ROLE PORT: the command of the deploy file, started in the repository's root.
launch() {
    (cd "$root" && exec env -i PATH="$PATH" HOME="$work" PADDLEPIER_CONFIG="$work/$1.toml" target/paddlepier "$2" --metrics-port "$3") >>"$work/$1.log" 2>&1 &
    pids[$1]=$!
    note "$1 started"
}

start_core() {
    mkdir -p "$work/data-$1"
    settings "core-$1" core core control "$net.$1" "control = \"$net.$1:8161\"" "data_directory = \"$work/data-$1\""
    launch "core-$1" core 9401
}

start_entry() {
    settings "entry-$1" entry front front "$net.$(($1 + 10))" "front = \"$net.$(($1 + 10)):8162\"
ready = \"$net.$(($1 + 10)):8163\""
    launch "entry-$1" entry 9402
}

# start_servers COUNT [HANG_MILLIS]
start_servers() {
    # shellcheck disable=SC2086
    "$servers" "$net" "$1" $controls ${2:-} >"$work/servers.log" 2>"$work/servers.err" &
    pids[servers]=$!
    note "$1 servers started"
}

# request METHOD HOST PORT PATH HOSTHEADER BODY: prints status and body, or 000 if no answer arrives.
request() {
    local reply
    reply=$(timeout 3.2 bash -c '
        exec 3<>"/dev/tcp/$2/$3" || exit 1
        printf "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nPaddlepier-Deadline-Remaining: 3000\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s" \
            "$1" "$4" "$5" "${#6}" "$6" >&3
        tr -d "\r" <&3 | awk "NR == 1 { status = \$2 } body { text = text \$0 } /^\$/ { body = 1 } END { print status, text }"' request "$@" 2>/dev/null)
    echo "${reply:-000}"
}

# configure VERSION CONFIG: sends a configuration until it is acknowledged. Returns 1 if it isn't within 20 s.
configure() {
    local until_ms=$(($(now) + 20000)) turn=0 reply
    while [ "$(now)" -lt "$until_ms" ]; do
        reply=$(request PUT "$net.$((turn % 3 + 1))" 8161 /api/configuration control "$2")
        note "PUT /api/configuration version $1 to core-$((turn % 3 + 1)): $reply"
        [ "${reply%% *}" = 200 ] && return 0
        turn=$((turn + 1))
        sleep 0.3
    done
    return 1
}

# call METHOD QUEUE ID [BODY]: a client's call at an entry; sets `reply` and notes it.
turn=0
call() {
    turn=$((turn + 1))
    reply=$(request "$1" "$net.$((turn % 2 + 11))" 8162 "/$2/$3" a.example "${4:-}")
    note "$1 /$2/$3 at entry-$((turn % 2 + 1)): $reply"
}

[ -x "$program" ] && [ -x "$servers" ] || { echo "run the deploy file's build and review/build-2.sh first" >&2; exit 2; }
: >"$record"
