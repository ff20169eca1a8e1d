#!/usr/bin/env bash
# What requests and tokens cost one node process, by the rate of requests and by their tokens.
#
#   scripts/loaded-node.sh [--bin DIR] [--runs "RATE:PROMPT:ANSWER ..."] [--seconds 15] [--keyed SHARE]
#
# Starts a platform stand-in, four engine stand-ins and one node on loopback, sends open-loop load
# for each run and reads /proc of the node: processor time, memory, threads. Ends each process by
# its id. Processor time is that of a machine that others may use at the same time.
set -euo pipefail

bin=target/release
runs="2:2000:32 4:2000:32 8:2000:32 16:2000:32 4:2000:128 4:2000:264 4:8000:32 4:32000:32"
seconds=15
keyed=0
while [ $# -gt 0 ]; do
    case "$1" in
    --bin) bin=$2 ;;
    --runs) runs=$2 ;;
    --seconds) seconds=$2 ;;
    --keyed) keyed=$2 ;;
    *) echo "unknown option $1" >&2 && exit 2 ;;
    esac
    shift 2
done

work=$(mktemp -d)
pids=()
end_all() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap 'end_all; rm -r "$work"' EXIT

# Waits for a line in a file and prints what the pattern holds.
wait_for() {
    for _ in $(seq 200); do
        local found
        found=$(sed -n "s/$2/\\1/p" "$1" | head -n 1)
        [ -n "$found" ] && echo "$found" && return
        sleep 0.1
    done
    echo "nothing in $1" >&2
    return 1
}

ticks() {
    sed 's/.*) //' "/proc/$1/stat" | awk '{ print $12 + $13 }'
}

at='.* at \([0-9.]*:[0-9]*\)$'
"$bin/bluebellctl" stand-in platform --listen 127.0.0.1:0 >"$work/platform" &
pids+=($!)
platform=$(wait_for "$work/platform" "$at")
for i in 1 2 3 4; do
    "$bin/bluebellctl" stand-in engine --name "engine-$i" --platform "$platform" --speed 8 >"$work/engine-$i" &
    pids+=($!)
done
"$bin/bluebellpond" --name node-1 --domain domain-a --region r1 \
    --callers-address 127.0.0.1:0 --admin-address 127.0.0.1:0 --peers-address 127.0.0.1:0 \
    --platform-address "$platform" --fleet-secret a-secret-for-measuring-only \
    --admin-credential for-measuring-only --seed-config examples/demo-fleet.json \
    --log-format text >"$work/node" 2>&1 &
node=$!
pids+=($node)
callers=$(wait_for "$work/node" '.*callers at \([0-9.]*:[0-9]*\).*')
peers=$(wait_for "$work/node" '.*peers at \([0-9.]*:[0-9]*\).*')
"$bin/bluebellctl" stand-in vm --platform "$platform" --name node-1 --role node --address "$peers" >/dev/null
sleep 20

uptime
echo "rate prompt answer | CPU % | CPU ms a request | RSS MB | most RSS MB | threads"
before=$(ticks $node)
sleep "$seconds"
awk -v b="$before" -v a="$(ticks $node)" -v hz="$(getconf CLK_TCK)" -v s="$seconds" \
    'BEGIN { printf "0 0 0 | %.2f | (idle)\n", (a - b) / hz / s * 100 }'
for run in $runs; do
    IFS=: read -r rate prompt answer <<<"$run"
    requests=$(awk -v r="$rate" -v s="$seconds" 'BEGIN { print int(r * s) }')
    before=$(ticks $node)
    started=$(date +%s.%N)
    "$bin/bluebellctl" load --target "$callers" --rate "$rate" --requests "$requests" --mix "$prompt" \
        --answer-tokens "$answer" --keyed-share "$keyed" >"$work/load" 2>&1 || echo "load found faults:"
    ended=$(date +%s.%N)
    awk -v b="$before" -v a="$(ticks $node)" -v hz="$(getconf CLK_TCK)" -v from="$started" -v to="$ended" \
        -v n="$requests" -v run="$rate $prompt $answer" '
        /^VmRSS/ { rss = $2 / 1024 } /^VmHWM/ { most = $2 / 1024 } /^Threads/ { threads = $2 }
        END { cpu = (a - b) / hz; printf "%s | %.2f | %.3f | %.1f | %.1f | %d\n", run,
            cpu / (to - from) * 100, cpu / n * 1000, rss, most, threads }' "/proc/$node/status"
    grep -iE "wrong|refused|finished|no word" "$work/load" | head -n 4 || true
done
uptime
