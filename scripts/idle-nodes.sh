#!/usr/bin/env bash
# What idle node processes cost, by their number and by the number of upstreams they know.
#
#   scripts/idle-nodes.sh [--bin DIR] [--nodes "1 3 9 27"] [--upstreams "0 30 300 900 1800"]
#                         [--seconds 20] [--settle 25]
#
# Starts one platform stand-in, one engine stand-in that answers for all upstreams, and the nodes,
# all on loopback; reads /proc for processor time, memory and threads, and the platform stand-in's
# counters. Ends each process by its id. Prints, for each size: mean and most of processor time
# (% of a core, user and system), resident memory, threads; log reads, appends and list fetches a
# second of all nodes; then the least-squares slope by size. Processor time is that of a machine
# that others may use at the same time: take the least of several runs.
set -euo pipefail

bin=target/release
nodes_sizes="1 3 9 27"
upstream_sizes="0 30 300 900 1800"
seconds=20
settle=25
while [ $# -gt 0 ]; do
    case "$1" in
    --bin) bin=$2 ;;
    --nodes) nodes_sizes=$2 ;;
    --upstreams) upstream_sizes=$2 ;;
    --seconds) seconds=$2 ;;
    --settle) settle=$2 ;;
    *) echo "unknown option $1" >&2 && exit 2 ;;
    esac
    shift 2
done

work=$(mktemp -d)
pids=()
end_all() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    pids=()
}
trap 'end_all; rm -r "$work"' EXIT

# The address that a stand-in printed: "... at IP:PORT".
address_in() {
    for _ in $(seq 100); do
        local found
        found=$(sed -n 's/.* at \([0-9.]*:[0-9]*\)$/\1/p' "$1" | head -n 1)
        [ -n "$found" ] && echo "$found" && return
        sleep 0.1
    done
    echo "no address in $1" >&2
    return 1
}

# A counter of the platform stand-in.
counter() {
    curl -s "http://$1/stats" | sed -n "s/.*\"$2\":\([0-9]*\).*/\1/p"
}

# User and system time of a process, in clock ticks.
ticks() {
    sed 's/.*) //' "/proc/$1/stat" | awk '{ print $12 + $13 }'
}

# One fleet: nodes, upstreams. Adds a line to $work/rows.
measure() {
    local nodes=$1 upstreams=$2 size=$3
    "$bin/bluebellctl" stand-in platform --listen 127.0.0.1:0 >"$work/platform" &
    pids+=($!)
    local platform
    platform=$(address_in "$work/platform")
    "$bin/bluebellctl" stand-in engine --name engine-0 >"$work/engine" &
    pids+=($!)
    local engine
    engine=$(address_in "$work/engine")
    if [ "$upstreams" -gt 0 ]; then
        # The same stand-in under many names.
        seq "$upstreams" | awk -v at="$engine" -v to="http://$platform/vms" '{
            printf "url = \"%s\"\noutput = \"/dev/null\"\n", to
            printf "data = \"{\\\"put\\\":{\\\"name\\\":\\\"engine-region-%d-domain-%d-%d\\\",", $1 % 3, $1 % 9, $1
            printf "\\\"role\\\":\\\"engine\\\",\\\"address\\\":\\\"%s\\\",", at
            printf "\\\"deployment\\\":\\\"model-%d\\\",\\\"domain\\\":\\\"domain-%d\\\",", $1 % 38, $1 % 9
            printf "\\\"state\\\":\\\"live\\\"}}\"\n"
            if ($1 < '"$upstreams"') print "next"
        }' >"$work/curl"
        curl -s -K "$work/curl"
        # A node that fetched the list before these are seen would fetch it again only much later.
        sleep 3
    fi
    local own=()
    for i in $(seq "$nodes"); do
        "$bin/bluebellpond" --name "node-$i" --domain "domain-$((i % 9))" --region r1 \
            --callers-address 127.0.0.1:0 --admin-address 127.0.0.1:0 --peers-address 127.0.0.1:0 \
            --platform-address "$platform" --fleet-secret a-secret-for-measuring-only \
            --admin-credential for-measuring-only --log-format text >"$work/node-$i" 2>&1 &
        own+=($!)
        pids+=($!)
    done
    sleep 2
    for i in $(seq "$nodes"); do
        local peers
        peers=$(sed -n 's/.*peers at \([0-9.]*:[0-9]*\).*/\1/p' "$work/node-$i" | head -n 1)
        "$bin/bluebellctl" stand-in vm --platform "$platform" --name "node-$i" --role node --address "$peers" >/dev/null
    done
    sleep "$settle"
    local before=() reads appends lists
    reads=$(counter "$platform" reads)
    appends=$(counter "$platform" appends)
    lists=$(counter "$platform" lists)
    for pid in "${own[@]}"; do before+=("$(ticks "$pid")"); done
    sleep "$seconds"
    local index=0
    for pid in "${own[@]}"; do
        local after
        after=$(ticks "$pid")
        awk -v b="${before[$index]}" -v a="$after" -v s="$seconds" -v hz="$(getconf CLK_TCK)" '
            /^VmRSS/ { rss = $2 / 1024 } /^Threads/ { threads = $2 }
            END { printf "%.3f %.2f %d\n", (a - b) / hz / s * 100, rss, threads }' "/proc/$pid/status"
        index=$((index + 1))
    done >"$work/each"
    local rates
    rates=$(awk -v s="$seconds" -v r="$(($(counter "$platform" reads) - reads))" \
        -v a="$(($(counter "$platform" appends) - appends))" \
        -v l="$(($(counter "$platform" lists) - lists))" \
        'BEGIN { printf "%.2f %.2f %.2f", r / s, a / s, l / s }')
    awk -v size="$size" -v rates="$rates" '
        { cpu += $1; rss += $2; thr += $3; if ($1 > mc) mc = $1; if ($2 > mr) mr = $2 }
        END { printf "%d %.3f %.3f %.2f %.2f %.1f %s\n", size, cpu / NR, mc, rss / NR, mr, thr / NR, rates }' \
        "$work/each" >>"$work/rows"
    end_all
}

# Prints the rows with the slope, the value at 0 and the largest distance of each column.
print_rows() {
    echo "$1 | CPU % mean, most | RSS MB mean, most | threads | reads/s, appends/s, lists/s of all"
    cat "$work/rows"
    awk '{ n++; for (c = 1; c <= NF; c++) v[n, c] = $c; cols = NF }
        END {
            if (n < 2) exit
            for (c = 2; c <= cols; c++) {
                sx = sy = sxx = sxy = worst = 0
                for (i = 1; i <= n; i++) { x = v[i, 1]; y = v[i, c]; sx += x; sy += y; sxx += x * x; sxy += x * y }
                slope = (n * sxy - sx * sy) / (n * sxx - sx * sx); zero = (sy - slope * sx) / n
                for (i = 1; i <= n; i++) { d = v[i, c] - zero - slope * v[i, 1]; if (d < 0) d = -d; if (d > worst) worst = d }
                printf "column %d: slope %.5f, at 0 %.3f, residual %.3f\n", c, slope, zero, worst
            }
        }' "$work/rows"
}

date -u +%H:%M:%S
uptime
: >"$work/rows"
for n in $nodes_sizes; do measure "$n" 10 "$n"; done
[ -z "$nodes_sizes" ] || print_rows "nodes (10 upstreams)"
: >"$work/rows"
for u in $upstream_sizes; do measure 1 "$u" "$u"; done
[ -z "$upstream_sizes" ] || print_rows "upstreams (1 node)"
uptime
