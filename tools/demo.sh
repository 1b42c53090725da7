#!/usr/bin/env bash
# The main job, shown step by step with real processes: stand-ins of the outside systems, three entries in two
# zones, a batch and an admin process. Ends with a graceful shutdown; with --keep it goes on until Enter.
set -euo pipefail
cd "$(dirname "$0")/.."

keep=false
[ "${1:-}" = --keep ] && keep=true
bin=$PWD/out/bin
work=$PWD/out/demo
base=${YUCCACHUTE_PORT_BASE:-18000}
rm -rf "$work"
mkdir -p "$work"

say() { printf '\n== %s\n' "$*"; }
port() { echo $((base + $1)); }

pids=()
start() { # start NAME PROGRAM ARGUMENTS...
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids+=($!)
    eval "pid_${name//-/_}=$!"
}
stop_all() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
}
trap stop_all EXIT

wait_for() { # wait_for WHAT COMMAND...: until it succeeds, 20 s at most
    local what=$1
    shift
    for _ in $(seq 200); do
        "$@" >/dev/null 2>&1 && return
        sleep 0.1
    done
    echo "gave up waiting for $what; the logs are in $work" >&2
    exit 1
}

process_ini() { # process_ini NAME ZONE HTTP RPC: the INI file of one process; SEEDS is what it meets first
    printf '[process]\nvm = %s\nzone = %s\nhttp = 127.0.0.1:%s\nrpc = 127.0.0.1:%s\nstore = 127.0.0.1:%s\nseeds = %s\ndata = %s\n' \
        "${VM:-$1}" "$2" "$3" "$4" "$(port 1)" "${SEEDS:-$seeds}" "$work/data" >"$work/$1.ini"
}
seeds="127.0.0.1:$(port 21), 127.0.0.1:$(port 22), 127.0.0.1:$(port 23)"

say "starting stand-ins: key-value service, three engines in two zones, a plain service"
start store "$bin/standin-keyvalue" --listen "127.0.0.1:$(port 1)" --control "$(port 2)"
start engine-a1 "$bin/standin-engine" --port "$(port 101)"
start engine-a2 "$bin/standin-engine" --port "$(port 102)"
start engine-b1 "$bin/standin-engine" --port "$(port 103)"
start plain "$bin/standin-plain" --port "$(port 111)"

say "starting three entries in two zones, a batch process and an admin process"
process_ini entry-1 rennes-a "$(port 11)" "$(port 21)"
process_ini entry-2 rennes-a "$(port 12)" "$(port 22)"
process_ini entry-3 brest-b "$(port 13)" "$(port 23)"
VM=entry-1 SEEDS="127.0.0.1:$(port 21)" process_ini batch rennes-a "$(port 14)" "$(port 24)"
VM=entry-1 SEEDS="127.0.0.1:$(port 21)" process_ini admin rennes-a "$(port 15)" "$(port 25)"
for number in 1 2 3; do start "entry-$number" "$bin/yuccachute-entry" --config "$work/entry-$number.ini"; done
start batch "$bin/yuccachute-batch" --config "$work/batch.ini"
start admin "$bin/yuccachute-admin" --config "$work/admin.ini"
wait_for "the admin process" curl -sf "http://127.0.0.1:$(port 15)/healthz"

say "applying the sample settings tree from INI"
sed -E -e "s/^;.*//" examples/demo/settings.ini | while IFS= read -r line; do
    while [[ $line =~ @PORT\+([0-9]+)@ ]]; do line=${line/"${BASH_REMATCH[0]}"/$(port "${BASH_REMATCH[1]}")}; done
    while [[ $line =~ @HASH:([^@]+)@ ]]; do line=${line/"${BASH_REMATCH[0]}"/$("$bin/yuccachutectl" hash "${BASH_REMATCH[1]}")}; done
    printf '%s\n' "$line"
done >"$work/settings.ini"
ctl() { YUCCACHUTE_TOKEN=operator-token YUCCACHUTE_KEY=key-large "$bin/yuccachutectl" --admin "127.0.0.1:$(port 15)" --entry "127.0.0.1:$(port 11)" "$@"; }
ctl --wait 10000 apply "$work/settings.ini"
for number in 11 12 13; do wait_for "entry on port $(port $number)" curl -sf "http://127.0.0.1:$(port $number)/readyz"; done

say "one live completion, streamed"
curl -sN "http://127.0.0.1:$(port 11)/v1/completions" -H 'Authorization: Bearer key-small' \
    -d '{"model":"screening","prompt":"Is the licence valid?","max_tokens":4,"stream":true}'

say "one call to a plain service"
curl -s "http://127.0.0.1:$(port 12)/services/registry/lookup?id=7" -H 'Authorization: Bearer key-small'

say "one bulk job of 50 items"
for i in $(seq 50); do
    printf '{"id":"review-%d","prompt":"Review file number %d for the compliance desk.","max_tokens":16}\n' "$i" "$i"
done >"$work/items.jsonl"
wait_for "the batch process" curl -sf "http://127.0.0.1:$(port 14)/readyz"
wait_for "the batch process to be known" sh -c "curl -s http://127.0.0.1:$(port 11)/status | grep -q '\"batch\":\"127'"
curl -s "http://127.0.0.1:$(port 11)/v1/batches?service=screening" -H 'Authorization: Bearer key-large' \
    -H 'Idempotency-Key: demo-1' --data-binary "@$work/items.jsonl" | tee "$work/job.json"
grep -q '"object":"batch"' "$work/job.json"
job=$(sed -E 's/.*"id":"([^"]+)".*/\1/' "$work/job.json")
ctl --watch jobs "$job" | tail -n 3

say "its results"
curl -s "http://127.0.0.1:$(port 13)/v1/batches/$job/results" -H 'Authorization: Bearer key-large' >"$work/results.jsonl"
head -n 2 "$work/results.jsonl"
echo "... $(wc -l <"$work/results.jsonl") results, $(sed -E 's/.*"id":"([^"]+)".*/\1/' "$work/results.jsonl" | sort -u | wc -l) distinct items"
[ "$(wc -l <"$work/results.jsonl")" -eq 50 ]

say "members"
ctl status

if $keep; then
    say "running; try for instance"
    cat <<TEXT
curl -N http://127.0.0.1:$(port 11)/v1/completions -H 'Authorization: Bearer key-large' -d '{"model":"screening","prompt":"Hello","max_tokens":20,"stream":true}'
curl http://127.0.0.1:$(port 11)/v1/batches/$job -H 'Authorization: Bearer key-large'
curl http://127.0.0.1:$(port 11)/metrics
curl http://127.0.0.1:$(port 11)/status
YUCCACHUTE_TOKEN=operator-token out/bin/yuccachutectl --admin 127.0.0.1:$(port 15) get
YUCCACHUTE_TOKEN=operator-token out/bin/yuccachutectl --admin 127.0.0.1:$(port 15) set service/screening/target/engine-a1 drain=true
Press Enter to stop everything.
TEXT
    read -r _ || true
fi

say "graceful shutdown of everything"
for name in batch admin entry_1 entry_2 entry_3 store engine_a1 engine_a2 engine_b1 plain; do
    pid=pid_$name
    kill "${!pid}"
    code=0
    wait "${!pid}" || code=$?
    echo "$name ended with code $code"
    [ "$code" -eq 0 ]
done
pids=()
grep -h '"graceful shutdown ends"' "$work"/*.log | head -n 6
say "done"
