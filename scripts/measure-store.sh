#!/usr/bin/env bash
# Measures the number of calls to the store for different numbers of data centres, as the platform
# stand-in counts them: while nothing changes, and for a change of the document.
#
# Each data centre is a separate membership group with 3 balancers. All processes run on loopback
# and are started anew for each size.
set -euo pipefail
cd "$(dirname "$0")/.."

DATA_CENTRES=(${DATA_CENTRES:-1 3 5 7})
BALANCERS=3
SECONDS_MEASURED=${SECONDS_MEASURED:-30}
SECONDS_OF_CHANGE=10
source scripts/loopback.sh

# calls: prints the reads and writes since the start of the store, and the waiting watches.
calls() {
    local host=${PLATFORM%:*} port=${PLATFORM##*:}
    exec 3<>"/dev/tcp/$host/$port"
    printf 'GET /calls HTTP/1.1\r\nhost: %s\r\nconnection: close\r\n\r\n' "$PLATFORM" >&3
    sed '1,/^\r$/d' <&3 | sed -E 's/.*"reads":([0-9]+).*"writes":([0-9]+).*"watches":([0-9]+).*/\1 \2 \3/'
    exec 3<&-
}

# in_force_after BEGIN LINES: prints the ms from BEGIN until the logs of all balancers together have
# LINES lines about a document in force.
in_force_after() {
    for _ in $(seq 300); do
        if [ "$(cat "$DIR"/balancer-*.log | grep -c "document version [0-9]* is in force")" -ge "$2" ]; then
            echo $(($(date +%s%3N) - $1))
            return
        fi
        sleep 0.05
    done
    fail "a change is not in force everywhere after 15 s"
}

# measure COUNT: starts COUNT data centres and prints one row.
measure() {
    rm -f "$DIR"/*.out "$DIR"/*.log
    SEEDS=
    start platform "$BIN/monsoon-standin" platform --port 0
    PLATFORM=$(address platform address)
    apply "$1" 4
    local place number before after quiet begin in_force
    for place in $(seq "$1"); do
        for number in $(seq "$BALANCERS"); do
            local name=balancer-$place-$number
            settings "$name" balancer "place-$place"
            printf '[balancer]\nbinds = { "192.0.2.1:443" = "127.0.0.1:0" }\n' >>"$DIR/$name.toml"
            start "$name" "$BIN/monsoonrouter" --settings "$DIR/$name.toml"
            wait_for "$name.log" "is served at"
            SEEDS=${SEEDS:-"\"$(address "$name" control)\""}
        done
    done
    # The watches that balancers begin when they start end after 30 s.
    sleep 35
    read -r -a before <<<"$(calls)"
    sleep "$SECONDS_MEASURED"
    read -r -a quiet <<<"$(calls)"
    begin=$(date +%s%3N)
    apply "$1" 5
    in_force=$(in_force_after "$begin" $((2 * BALANCERS * $1)))
    sleep "$SECONDS_OF_CHANGE"
    read -r -a after <<<"$(calls)"
    awk -v size="$1" -v time="$SECONDS_MEASURED" -v change="$SECONDS_OF_CHANGE" \
        -v in_force="$in_force" \
        -v a="${before[*]}" -v b="${quiet[*]}" -v c="${after[*]}" 'BEGIN {
            split(a, before, " "); split(b, quiet, " "); split(c, after, " ")
            reads = (quiet[1] - before[1]) / time; writes = (quiet[2] - before[2]) / time
            print size, reads, writes, quiet[3], \
                after[1] - quiet[1] - reads * change, after[2] - quiet[2] - writes * change, in_force
        }' | tee -a "$DIR/rows"
    end_children
}

echo "data centres, reads/s, writes/s, waiting watches, reads of a change, writes of a change, ms until in force"
for size in "${DATA_CENTRES[@]}"; do measure "$size"; done
fit 2 "reads per second"
fit 3 "writes per second"
fit 4 "waiting watches"
fit 5 "reads of a change, above the steady ones in 10 s"
fit 6 "writes of a change, above the steady ones in 10 s"
fit 7 "ms until a change is in force everywhere"
