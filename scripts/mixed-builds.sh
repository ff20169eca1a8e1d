#!/usr/bin/env bash
# Runs nodes of two builds in one fleet and replaces nodes of one build by the other, to show that
# an upgrade node by node keeps answers, gossip, stored data and settings intact.
#
#   cargo build --release --bins && scripts/mixed-builds.sh OTHER_BIN_DIR
#
# OTHER_BIN_DIR holds `bluebellctl` and `bluebellpond` of the other build. Settings (environment):
# BIN_DIR, the programs of this build (default target/release); SEEDS, soak seeds for each
# arrangement (default 4); PORTS, the first of 20 ports taken (default 7100); RUN_DIR, where
# programs, logs and reports go (default a new directory). Fails if a promise of the soak was
# broken, an answer of the load was wrong, or a repeated keyed request got another answer.
set -euo pipefail
cd "$(dirname "$0")/.."

export THIS=${BIN_DIR:-$PWD/target/release} OTHER=${1:?usage: mixed-builds.sh OTHER_BIN_DIR}
seeds=${SEEDS:-4}
ports=${PORTS:-7100}
RUN_DIR=${RUN_DIR:-$(mktemp -d)}
export RUN_DIR
host=127.0.0.1
mkdir -p "$RUN_DIR/bin"
failed=0
pids=()
fleet=
end_all() {
    for pid in "${pids[@]}" $fleet; do kill "$pid" 2>/dev/null || true; done
    wait
}
trap end_all EXIT

# Stands in for the node program and becomes the build that MIX names for this node:
# `even` runs this build on nodes of even number, `odd` on those of odd number; `upgrade` begins
# each node with the other build and restarts it with this one, `downgrade` the reverse.
cat >"$RUN_DIR/bin/bluebellpond" <<'CHOOSER'
#!/usr/bin/env bash
node=
for word in "$@"; do
    case $word in
    *node-[0-9]*) node=${word##*node-} && node=${node%.json} ;;
    esac
done
home=$(dirname "$0")
printf '%q ' "$@" >"$home/node-$node.args"
echo >>"$home/node-$node.args"
case $MIX in
even) [ $((node % 2)) = 0 ] && dir=$THIS || dir=$OTHER ;;
odd) [ $((node % 2)) = 1 ] && dir=$THIS || dir=$OTHER ;;
*)
    mark=$home/node-$node.started
    [ "$1" = front ] && mark=${!#}.started
    first=$OTHER next=$THIS
    [ "$MIX" = downgrade ] && first=$THIS next=$OTHER
    [ -e "$mark" ] && dir=$next || dir=$first
    touch "$mark"
    ;;
esac
exec "$dir/bluebellpond" "$@"
CHOOSER
chmod +x "$RUN_DIR/bin/bluebellpond"

# Counts warnings that a message of a peer or a stored record could not be read.
unread() {
    cat "$@" 2>/dev/null | grep -vE '^\{|io: ' |
        grep -ciE "can't be (read|parsed)|malformed|truncated|unknown kind" || true
}

# Counts the events that show a peer's message to have been applied, for the nodes in the files.
applied() {
    local all
    all=$(cat "$@" 2>/dev/null || true)
    for event in peer_found config_known; do
        echo -n "$event $(grep -c "\"event\":\"$event\"" <<<"$all" || true)  "
    done
    echo -n "copied configurations $(grep -c '"from":"peer"' <<<"$all" || true)  "
    for event in limit_named request_quarantined; do
        echo -n "$event $(grep "\"event\":\"$event\"" <<<"$all" | grep -c '"how":"told"' || true)  "
    done
    echo "leaving $(grep '"event":"replica_says_leaving"' <<<"$all" | grep -c '"how":"peer"' || true)"
}

soak() {
    cp "$1/bluebellctl" "$RUN_DIR/bin/bluebellctl"
    local folder=$RUN_DIR/soak-$2
    MIX=$2 "$RUN_DIR/bin/bluebellctl" soak --seed "$3" --seeds "$seeds" --jobs 2 \
        --folder "$folder" >"$folder.out" 2>&1 || failed=1
    echo "soak, $2:"
    cat "$folder.out"
    echo "lines on unreadable messages: $(unread "$folder"/*/*.log)"
    echo "applied at nodes of even number: $(applied "$folder"/*/node-*[02468].log)"
    echo "applied at nodes of odd number: $(applied "$folder"/*/node-*[13579].log)"
}

echo "== settings"
cat >"$RUN_DIR/node-0.json" <<JSON
{"nodeName": "node-0", "ip": "$host", "zone": "a",
 "listen": {"frontend": "$host:8227", "ready": "$host:8220"}, "internalPortRange": [7340, 7340],
 "bounds": {"graceS": 8, "retryBudgetRatio": 0.1, "retryWindowS": 10, "retryBudgetExtra": 5},
 "platform": {"address": "$host:7999"}}
JSON
for program in "$THIS" "$OTHER"; do
    "$program/bluebellpond" front --settings "$RUN_DIR/node-0.json" --check
done | sort | uniq -c | awk '$1 % 2 { odd = 1; print } END { exit odd }' &&
    echo "settings file: read alike" || failed=1
for file in examples/fleet.json examples/demo-fleet.json; do
    for program in "$THIS" "$OTHER"; do "$program/bluebellctl" config check "$file"; done
done

echo "== users' platform"
soak "$THIS" even 7200
soak "$OTHER" odd 7300
soak "$THIS" upgrade 7400
soak "$THIS" downgrade 7500

echo "== own interface"
load() {
    "$1/bluebellctl" load --target "$host:$((ports + 4))" --target "$host:$((ports + 7))" \
        --target "$host:$((ports + 10))" --rate 20 --requests 400 --max-prompt-tokens 64000 \
        --seed "$2" --keyed-share 0.3 --service-share 0.1 --upstream "$host:$((ports + 1))" \
        --upstream "$host:$((ports + 2))" --upstream "$host:$((ports + 3))" \
        >"$RUN_DIR/load-$2" 2>&1 || failed=1
    grep -E "^(whole|faults)" "$RUN_DIR/load-$2"
}
keyed() {
    curl -s "http://$host:$((ports + 4 + 3 * $1))/v1/completions" -H "Idempotency-Key: $2" \
        -H 'Authorization: Bearer demo-key-1' -o - \
        -d '{"model": "pond-1", "class": "notice", "prompt": "a short notice", "max_tokens": 8}'
}
for mix in even odd upgrade downgrade; do
    echo "own interface, $mix:"
    rm -f "$RUN_DIR"/bin/*.started
    cp "$OTHER/bluebellctl" "$RUN_DIR/bin/bluebellctl"
    mkdir -p "$RUN_DIR/own-$mix"
    MIX=$mix BIN_DIR=$RUN_DIR/bin PORTS=$ports SPEED=40 RUN_DIR=$RUN_DIR/own-$mix \
        scripts/three-nodes.sh >"$RUN_DIR/own-$mix.out" 2>&1 &
    fleet=$!
    until grep -q ready "$RUN_DIR/own-$mix.out"; do kill -0 "$fleet" && sleep 0.2; done
    sleep 3
    # Until the key's shard has an owner, keyed requests are refused as not run.
    for _ in $(seq 60); do
        before=$(keyed 0 "mixed-$mix")
        grep -q '"verdict":"not_run"' <<<"$before" || break
        sleep 0.5
    done
    load "$THIS" "1${#mix}1"
    pids=()
    case $mix in upgrade | downgrade)
        for i in 0 1 2; do
            pid=$(cat "$RUN_DIR/own-$mix/node-$i.pid")
            kill -TERM "$pid"
            while kill -0 "$pid" 2>/dev/null; do sleep 0.2; done
            read -ra words <"$RUN_DIR/bin/node-$i.args"
            MIX=$mix "$RUN_DIR/bin/bluebellpond" "${words[@]}" \
                >"$RUN_DIR/own-$mix/node-$i-again.out" 2>"$RUN_DIR/own-$mix/node-$i-again.log" &
            pids+=($!)
            until curl -sf "http://$host:$((ports + 4 + 3 * i))/readyz" >/dev/null; do sleep 0.2; done
        done
        sleep 15
        load "$THIS" "1${#mix}2"
        ;;
    esac
    after=$(keyed 1 "mixed-$mix")
    if grep -q finish_reason <<<"$before" && grep -q '"verdict":"ran"' <<<"$after"; then
        echo "repeated keyed request: known to have run"
    else
        echo "repeated keyed request: FAILED: '$before' / '$after'"
        failed=1
    fi
    end_all
    pids=() fleet=
    echo "lines on unreadable messages: $(unread "$RUN_DIR/own-$mix"/*.log)"
done
echo "reports and logs in $RUN_DIR"
exit "$failed"
