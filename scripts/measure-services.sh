#!/usr/bin/env bash
# Measures memory and processor time of one idle balancer and one idle agent for different numbers
# of services in the document. The balancer has a socket, and the agent a target, of the first
# service only.
set -euo pipefail
cd "$(dirname "$0")/.."

SIZES=(${SIZES:-10 90 180 270 360})
SECONDS_MEASURED=${SECONDS_MEASURED:-10}
PLACE=place-1
source scripts/loopback.sh
TICKS=$(getconf CLK_TCK)

# used PID: prints the processor time in clock ticks. The process name in field 2 has no spaces.
used() {
    awk '{ print $14 + $15 }' "/proc/$1/stat"
}

# resident PID: prints the resident memory in KiB.
resident() {
    awk '/^VmRSS/ { print $2 }' "/proc/$1/status"
}

# measure SIZE: starts the processes for SIZE services and prints one row.
measure() {
    rm -f "$DIR"/*.out "$DIR"/*.log
    SEEDS=
    local balancer agent balancer_used agent_used
    start platform "$BIN/monsoon-standin" platform --port 0
    PLATFORM=$(address platform address)
    SERVICES=$1 apply 7 4
    settings balancer balancer "$PLACE"
    printf '[balancer]\nbinds = { "192.0.2.1:443" = "127.0.0.1:0" }\n' >>"$DIR/balancer.toml"
    start balancer "$BIN/monsoonrouter" --settings "$DIR/balancer.toml"
    balancer=$LAST_PID
    wait_for balancer.log "is served at"
    SEEDS="\"$(address balancer control)\""
    start target "$BIN/monsoon-standin" target --port 0
    settings agent agent "$PLACE"
    printf '[agent]\nservice = "service-1"\ntarget = "%s"\n' "$(address target address)" >>"$DIR/agent.toml"
    start agent "$BIN/monsoonrouter" --settings "$DIR/agent.toml"
    agent=$LAST_PID
    wait_for agent.log "serves service-1"
    sleep 3
    balancer_used=$(used "$balancer")
    agent_used=$(used "$agent")
    sleep "$SECONDS_MEASURED"
    balancer_used=$(($(used "$balancer") - balancer_used))
    agent_used=$(($(used "$agent") - agent_used))
    awk -v size="$1" -v per="$(awk -v t="$TICKS" -v s="$SECONDS_MEASURED" 'BEGIN { print 1000 / t / s }')" \
        -v a="$(resident "$balancer")" -v b="$balancer_used" -v c="$(resident "$agent")" -v d="$agent_used" \
        'BEGIN { print size, a, b * per, c, d * per }' | tee -a "$DIR/rows"
    end_children
}

echo "services, balancer KiB, balancer ms/s, agent KiB, agent ms/s"
for size in "${SIZES[@]}"; do measure "$size"; done
fit 2 "balancer memory in KiB"
fit 3 "balancer processor time in ms/s"
fit 4 "agent memory in KiB"
fit 5 "agent processor time in ms/s"
