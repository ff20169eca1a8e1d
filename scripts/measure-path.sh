#!/usr/bin/env bash
# Measures the path through separate processes: starts the fleet of three-nodes.sh, sends load,
# kills one node and one engine on the way, and prints the report of the load and what each node
# took of memory, processor time and threads.
#
#   cargo build --release --bins && scripts/measure-path.sh
#
# Settings (environment): those of three-nodes.sh; RATE and REQUESTS of the load (default 35 and
# 10000); KILLS, 0 for none (default 1); LOAD, further flags of `bluebellctl load`.
set -euo pipefail
cd "$(dirname "$0")/.."

export BIN_DIR=${BIN_DIR:-target/release} PORTS=${PORTS:-7000} SPEED=${SPEED:-40}
RUN_DIR=${RUN_DIR:-$(mktemp -d)}
export RUN_DIR
mkdir -p "$RUN_DIR"
rate=${RATE:-35}
requests=${REQUESTS:-10000}
kills=${KILLS:-1}
read -ra more <<<"${LOAD:-}"
host=127.0.0.1
ticks=$(getconf CLK_TCK)
at() { echo "$host:$((PORTS + $1))"; }
pid_of() { cat "$RUN_DIR/$1.pid"; }

scripts/three-nodes.sh >"$RUN_DIR/fleet.out" &
fleet=$!
trap 'kill "$fleet" 2>/dev/null; wait "$fleet" || true' EXIT
until grep -q ready "$RUN_DIR/fleet.out"; do
    kill -0 "$fleet"
    sleep 0.2
done
sleep 3

# One line a second and node: seconds, node, resident KiB, threads, processor seconds.
sample() {
    local begun=$SECONDS
    while sleep 1; do
        for i in 0 1 2; do
            local proc
            [ -r "$RUN_DIR/node-$i.pid" ] || continue
            proc=/proc/$(pid_of "node-$i")
            [ -r "$proc/status" ] || continue
            awk -v t=$((SECONDS - begun)) -v n="node-$i" -v hz="$ticks" '
                FILENAME ~ /status/ && /^VmRSS/ { rss = $2 }
                FILENAME ~ /status/ && /^Threads/ { threads = $2 }
                FILENAME ~ /stat$/ { cpu = ($14 + $15) / hz }
                END { if (rss) print t, n, rss, threads, cpu }
            ' "$proc/status" "$proc/stat" 2>/dev/null || true
        done
    done
}
sample >"$RUN_DIR/samples" &
sampler=$!

"$BIN_DIR/bluebellctl" load --target "$(at 4)" --target "$(at 7)" --target "$(at 10)" \
    --rate "$rate" --requests "$requests" --keyed-share 0.2 --service-share 0.05 \
    --upstream "$(at 1)" --upstream "$(at 2)" --upstream "$(at 3)" \
    --direct-engine "$(at 2)" --direct-share 0.1 "${more[@]}" >"$RUN_DIR/report" 2>"$RUN_DIR/load.log" &
load=$!

if [ "$kills" != 0 ]; then
    third=$(awk -v n="$requests" -v r="$rate" 'BEGIN { printf "%.1f", n / r / 3 }')
    sleep "$third"
    kill -KILL "$(pid_of node-1)"
    # The system gives the id to other processes, which must not be sampled as the node.
    rm "$RUN_DIR/node-1.pid"
    sleep "$third"
    kill -KILL "$(pid_of engine-0)"
fi
verdict=0
wait "$load" || verdict=$?
kill "$sampler"

cat "$RUN_DIR/report" "$RUN_DIR/load.log"
echo "the load's exit code: $verdict"
awk '{
    if ($3 > most[$2]) most[$2] = $3
    if (!($2 in first_cpu)) { first_cpu[$2] = $5; first_t[$2] = $1 }
    last[$2] = $3; threads[$2] = ($4 > threads[$2]) ? $4 : threads[$2]
    cpu[$2] = $5; t[$2] = $1
} END {
    for (n in most) {
        span = t[n] - first_t[n]; used = cpu[n] - first_cpu[n]
        printf "%s: RSS most %.1f MiB, last %.1f MiB; threads most %d; processor %.1f s in %d s (%.1f %%)\n",
            n, most[n] / 1024, last[n] / 1024, threads[n], used, span, span ? 100 * used / span : 0
    }
}' "$RUN_DIR/samples" | sort
exit "$verdict"
