#!/usr/bin/env bash
# Measures memory and processor time of one agent and one balancer for different numbers of open
# board flows, or for different rates of new flows.
#
# All processes run on loopback and are started anew for each size: platform store, one balancer,
# one agent with one target, and one caller, which sends to the balancer without a fabric. The
# script ends only the processes it started, by id.
#
# Usage: scripts/measure-flows.sh [open|new]
set -euo pipefail
cd "$(dirname "$0")/.."

PART=${1:-open}
OPEN_FLOWS=(${OPEN_FLOWS:-0 250 500 750 1000})
NEW_FLOWS=(${NEW_FLOWS:-0 5 10 20 40})
SECONDS_MEASURED=${SECONDS_MEASURED:-10}
# Seconds until all flows are open; 1,000 handshakes at once take up to 8 s on a busy machine.
SETTLE=14
SERVICE_ADDRESS=192.0.2.1:443
SERVICE=prodejna
PLACE=brno-a

source scripts/loopback.sh
TICKS=$(getconf CLK_TCK)

# start_path: starts the platform, the balancer, the target and the agent, and warms the target.
start_path() {
    rm -f "$DIR"/*.out "$DIR"/*.log
    SEEDS=
    start platform "$BIN/monsoon-standin" platform --port 0
    PLATFORM=$(address platform address)
    "$BIN/monsoonctl" --store "$PLATFORM" --env production --author measure \
        apply examples/karavanex.toml >"$DIR/apply.out"
    settings balancer balancer "$PLACE"
    cat >>"$DIR/balancer.toml" <<EOF
[balancer]
binds = { "$SERVICE_ADDRESS" = "127.0.0.1:0", "192.0.2.2:443" = "127.0.0.1:0", "192.0.2.3:443" = "127.0.0.1:0" }
EOF
    start balancer "$BIN/monsoonrouter" --settings "$DIR/balancer.toml"
    BALANCER_PID=$LAST_PID
    wait_for balancer.log "$SERVICE_ADDRESS is served at"
    SERVED=$(sed -nE "s/.*$SERVICE_ADDRESS is served at ([0-9.:]+).*/\1/p" "$DIR/balancer.log" | head -n 1)
    SEEDS="\"$(address balancer control)\""
    start target "$BIN/monsoon-standin" target --port 0 --slots 4 --connections 2000 --tick-ms 1000
    settings agent agent "$PLACE"
    cat >>"$DIR/agent.toml" <<EOF
[agent]
service = "$SERVICE"
target = "$(address target address)"
EOF
    start agent "$BIN/monsoonrouter" --settings "$DIR/agent.toml"
    AGENT_PID=$LAST_PID
    wait_for agent.log "serves $SERVICE"
    sleep 2
    # An agent treats a new target as cold, and refuses most streams, until requests have succeeded.
    "${CALLER[@]}" --service "$SERVED" --seconds 4 --holds-per-second 20 >"$DIR/warm.out" 2>"$DIR/warm.log"
}

# used PID: prints the processor time in clock ticks. The process name in field 2 has no spaces.
used() {
    awk '{ print $14 + $15 }' "/proc/$1/stat"
}

# resident PID: prints the resident memory in KiB.
resident() {
    awk '/^VmRSS/ { print $2 }' "/proc/$1/status"
}

# measure SIZE: measures the running processes for SECONDS_MEASURED and prints one row.
measure() {
    local agent balancer
    agent=$(used "$AGENT_PID")
    balancer=$(used "$BALANCER_PID")
    sleep "$SECONDS_MEASURED"
    agent=$(($(used "$AGENT_PID") - agent))
    balancer=$(($(used "$BALANCER_PID") - balancer))
    awk -v size="$1" -v agent="$agent" -v balancer="$balancer" \
        -v per="$(awk -v t="$TICKS" -v s="$SECONDS_MEASURED" 'BEGIN { print 1000 / t / s }')" \
        -v agent_memory="$(resident "$AGENT_PID")" \
        -v balancer_memory="$(resident "$BALANCER_PID")" \
        'BEGIN { print size, agent_memory, agent * per, balancer_memory, balancer * per }' |
        tee -a "$DIR/rows"
}

CALLER=("$BIN/monsoon-standin" caller --ca "$DIR/certs/ca.pem" --server-name "$SERVICE" --seed 1)

# open_flows SIZE: measures SIZE open board flows, each with its own connection.
open_flows() {
    start_path
    if [ "$1" -gt 0 ]; then
        start caller "${CALLER[@]}" --service "$SERVED" --seconds $((SECONDS_MEASURED + SETTLE + 3)) \
            --boards "$1" --connections "$1"
        local caller=$LAST_PID
        sleep "$SETTLE"
        measure "$1"
        wait "$caller" || true
        # The caller retries a refused handshake, but a flow that broke has not stayed open.
        grep -E "^class=board sent=[0-9]+ answered=$1 .* broken=0 " "$DIR/caller.out" >&2 ||
            fail "not all flows stayed open: $(grep '^class=board' "$DIR/caller.out")"
    else
        sleep 2
        measure 0
    fi
    end_children
}

# new_flows RATE: measures RATE new flows per second; each second a new caller opens RATE flows that
# end within a second.
new_flows() {
    start_path
    local until=$((SECONDS + SECONDS_MEASURED + 6))
    (
        while [ "$1" -gt 0 ] && [ $SECONDS -lt $until ]; do
            "${CALLER[@]}" --service "$SERVED" --seconds 0.8 --boards "$1" --connections "$1" \
                >>"$DIR/callers.out" 2>>"$DIR/callers.log" &
            sleep 1
        done
        wait
    ) &
    CHILDREN+=($!)
    sleep 4
    measure "$1"
    end_children
}

echo "size, agent KiB, agent ms/s, balancer KiB, balancer ms/s"
case $PART in
open) for size in "${OPEN_FLOWS[@]}"; do open_flows "$size"; done ;;
new) for size in "${NEW_FLOWS[@]}"; do new_flows "$size"; done ;;
*) fail "unknown part $PART; use open or new" ;;
esac
fit 2 "agent memory in KiB"
fit 3 "agent processor time in ms/s"
fit 4 "balancer memory in KiB"
fit 5 "balancer processor time in ms/s"
