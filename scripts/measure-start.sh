#!/usr/bin/env bash
# Measures how long different numbers of balancers of one data centre take from their start until
# they serve, while the store is down. Their seeds are the 3 balancers of another data centre, which
# still have the configuration.
set -euo pipefail
cd "$(dirname "$0")/.."

SIZES=(${SIZES:-5 10 20 40 86})
source scripts/loopback.sh

# balancer NAME DATA_CENTRE: starts a balancer.
balancer() {
    settings "$1" balancer "$2"
    printf '[balancer]\nbinds = { "192.0.2.1:443" = "127.0.0.1:0" }\n' >>"$DIR/$1.toml"
    start "$1" "$BIN/monsoonrouter" --settings "$DIR/$1.toml"
}

# store_down: makes the store answer no object requests any more.
store_down() {
    local host=${PLATFORM%:*} port=${PLATFORM##*:} body='{"down":true}' line
    exec 3<>"/dev/tcp/$host/$port"
    printf 'POST /faults HTTP/1.1\r\nhost: %s\r\ncontent-type: application/json\r\ncontent-length: %d\r\nconnection: close\r\n\r\n%s' \
        "$PLATFORM" "${#body}" "$body" >&3
    IFS= read -r line <&3
    exec 3<&-
    [[ $line == "HTTP/1.1 2"* ]] || fail "POST /faults was answered: $line"
}

# measure SIZE: prints the times until half and until all of SIZE balancers serve.
measure() {
    rm -f "$DIR"/*.out "$DIR"/*.log
    SEEDS=
    start platform "$BIN/monsoon-standin" platform --port 0
    PLATFORM=$(address platform address)
    apply 2 4
    local number seeds=()
    for number in 1 2 3; do
        balancer "known-$number" place-1
        wait_for "known-$number.log" "is served at"
        seeds+=("\"$(address "known-$number" control)\"")
        SEEDS=$(IFS=,; echo "${seeds[*]}")
    done
    sleep 3
    store_down
    local begin serving half=0 now
    begin=$(date +%s%3N)
    for number in $(seq "$1"); do balancer "new-$number" place-2; done
    for _ in $(seq 300); do
        serving=$(cat "$DIR"/new-*.log | grep -c "is served at" || true)
        now=$(($(date +%s%3N) - begin))
        if [ "$half" -eq 0 ] && [ $((serving * 2)) -ge "$1" ]; then half=$now; fi
        if [ "$serving" -ge "$1" ]; then
            echo "$1 $half $now" | tee -a "$DIR/rows"
            end_children
            return
        fi
        sleep 0.1
    done
    fail "only $serving of $1 balancers serve after 30 s"
}

echo "balancers, ms until half serve, ms until all serve"
for size in "${SIZES[@]}"; do measure "$size"; done
fit 2 "ms until half serve"
fit 3 "ms until all serve"
