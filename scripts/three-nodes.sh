#!/usr/bin/env bash
# Runs three nodes before stand-ins of the platform, two engines and a service, each a process of
# its own, until it is interrupted or told to end (SIGTERM); then it ends them by their ids.
#
#   cargo build --release --bins && scripts/three-nodes.sh
#
# Settings (environment): BIN_DIR, where the programs are (default target/release); PORTS, the
# first of 20 ports taken (default 7000); SPEED, how many times faster than the clock the engines
# compute (default 4); RUN_DIR, where logs and process ids go (default a new directory).
set -euo pipefail
cd "$(dirname "$0")/.."

bin=${BIN_DIR:-target/release}
ports=${PORTS:-7000}
speed=${SPEED:-4}
run_dir=${RUN_DIR:-$(mktemp -d)}
host=127.0.0.1
platform=$host:$ports
credential=a-trial-credential
mkdir -p "$run_dir"

pids=()
end_all() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait
}
trap end_all EXIT
trap 'exit 0' INT TERM

# Starts a program in the background: its name, then the command.
start() {
    local name=$1
    shift
    "$@" >"$run_dir/$name.out" 2>"$run_dir/$name.log" &
    pids+=($!)
    echo $! >"$run_dir/$name.pid"
}

start platform "$bin/bluebellctl" stand-in platform --listen "$platform"
until "$bin/bluebellctl" stand-in faults --at "$platform" '{}' 2>/dev/null; do sleep 0.1; done
for i in 0 1; do
    start "engine-$i" "$bin/bluebellctl" stand-in engine --name "engine-$i" \
        --listen "$host:$((ports + 1 + i))" --platform "$platform" --speed "$speed"
done
start board-0 "$bin/bluebellctl" stand-in service --name board-0 \
    --listen "$host:$((ports + 3))" --platform "$platform"
for i in 0 1 2; do
    callers=$((ports + 4 + 3 * i))
    start "node-$i" "$bin/bluebellpond" --name "node-$i" --domain domain-a --region trial \
        --callers-address "$host:$callers" --admin-address "$host:$((callers + 1))" \
        --peers-address "$host:$((callers + 2))" --platform-address "$platform" \
        --fleet-secret a-trial-fleet-secret --admin-credential "$credential" \
        --seed-config examples/demo-fleet.json
    "$bin/bluebellctl" stand-in vm --platform "$platform" --name "node-$i" --role node \
        --address "$host:$((callers + 2))"
done

admin=$host:$((ports + 5))
until "$bin/bluebellctl" --admin-address "$admin" --admin-credential "$credential" state \
    2>/dev/null | grep -q pond-1; do sleep 0.2; done
echo "ready: callers at $host:$((ports + 4)), $host:$((ports + 7)), $host:$((ports + 10));" \
    "operators at $admin; logs and process ids in $run_dir"
wait
