#!/usr/bin/env bash
# Runs the whole system on loopback as separate processes and checks that no request is lost:
# platform store, fabric, 2 balancers, 3 targets with 3 agents and one caller.
#
# While the caller sends, a balancer is killed and replaced, a target is drained, and a data centre
# is taken out of service and brought back. The script ends only the processes it started, by id.
set -euo pipefail
cd "$(dirname "$0")/.."

PROFILE=${PROFILE:-debug}
SECONDS_OF_LOAD=20
SERVICE_ADDRESS=192.0.2.1:443
SERVICE=prodejna
PLACES=(brno-a brno-b olomouc)

source scripts/loopback.sh

# post ADDRESS PATH BODY: sends a POST request; fails unless the status is 2xx.
post() {
    local host=${1%:*} port=${1##*:} line
    exec 3<>"/dev/tcp/$host/$port"
    printf 'POST %s HTTP/1.1\r\nhost: %s\r\ncontent-type: application/json\r\ncontent-length: %d\r\nconnection: close\r\n\r\n%s' \
        "$2" "$1" "${#3}" "$3" >&3
    IFS= read -r line <&3
    exec 3<&-
    [[ $line == "HTTP/1.1 2"* ]] || fail "POST $2 at $1 was answered: $line"
}

# get ADDRESS PATH: sends a GET request and prints the body of the response.
get() {
    local host=${1%:*} port=${1##*:}
    exec 3<>"/dev/tcp/$host/$port"
    printf 'GET %s HTTP/1.1\r\nhost: %s\r\nconnection: close\r\n\r\n' "$2" "$1" >&3
    sed '1,/^\r$/d' <&3
    exec 3<&-
}

# start_balancer NAME DATA_CENTRE: starts a balancer and sets LAST_SERVICE to its service socket.
start_balancer() {
    settings "$1" balancer "$2"
    cat >>"$DIR/$1.toml" <<EOF
[balancer]
binds = { "$SERVICE_ADDRESS" = "127.0.0.1:0", "192.0.2.2:443" = "127.0.0.1:0", "192.0.2.3:443" = "127.0.0.1:0" }
EOF
    start "$1" "$BIN/monsoonrouter" --settings "$DIR/$1.toml"
    wait_for "$1.log" "$SERVICE_ADDRESS is served at"
    LAST_SERVICE=$(sed -nE "s/.*$SERVICE_ADDRESS is served at ([0-9.:]+).*/\1/p" "$DIR/$1.log" | head -n 1)
}

start platform "$BIN/monsoon-standin" platform --port 0
PLATFORM=$(address platform address)
CTL=("$BIN/monsoonctl" --store "$PLATFORM" --env production --author demo)
"${CTL[@]}" apply examples/karavanex.toml

start_balancer balancer-1 brno-a
BALANCER_1_PID=$LAST_PID
BALANCER_1=$LAST_SERVICE
SEEDS="\"$(address balancer-1 control)\""
start_balancer balancer-2 brno-b
BALANCER_2=$LAST_SERVICE
SEEDS+=", \"$(address balancer-2 control)\""

TARGETS=()
for index in 0 1 2; do
    place=${PLACES[$index]}
    start "target-$index" "$BIN/monsoon-standin" target --port 0 --slots 4 --cold-seconds 1 --name "$place"
    TARGETS+=("$(address "target-$index" address)")
    settings "agent-$index" agent "$place"
    cat >>"$DIR/agent-$index.toml" <<EOF
[agent]
service = "$SERVICE"
target = "${TARGETS[$index]}"
EOF
    start "agent-$index" "$BIN/monsoonrouter" --settings "$DIR/agent-$index.toml"
    wait_for "agent-$index.log" "serves $SERVICE"
done

start fabric "$BIN/monsoon-standin" fabric --listen 127.0.0.1:0 --control 127.0.0.1:0 \
    --balancer "$BALANCER_1" --balancer "$BALANCER_2"
FABRIC=$(address fabric address)
FABRIC_CONTROL=$(address fabric control)
sleep 2

start caller "$BIN/monsoon-standin" caller --service "$FABRIC" --ca "$DIR/certs/ca.pem" \
    --server-name "$SERVICE" --seconds "$SECONDS_OF_LOAD" --boards 6 --holds-per-second 5 \
    --uploads 8 --upload-bytes 1000000 --upload-path /uploads --report "$DIR/report.json"
CALLER_PID=$LAST_PID

sleep 4
echo "demo: kill balancer-1"
kill -KILL "$BALANCER_1_PID"
SEEDS="\"$(address balancer-2 control)\""
start_balancer balancer-3 brno-a
post "$FABRIC_CONTROL" /balancers "[\"$BALANCER_2\", \"$LAST_SERVICE\"]"
sleep 3
echo "demo: drain the target in ${PLACES[1]}"
post "${TARGETS[1]}" /control/drain ""
sleep 3
echo "demo: take out olomouc"
"${CTL[@]}" dc out olomouc
sleep 4
echo "demo: bring olomouc back"
"${CTL[@]}" dc in olomouc

wait "$CALLER_PID" || true
for index in 0 1 2; do
    get "${TARGETS[$index]}" /control/record >"$DIR/record-$index.json"
done

# The targets record executions as "key":count; the caller's report has the outcome of each key.
cat "$DIR"/record-*.json | grep -oE '"[0-9a-f]+-[0-9]+":[0-9]+' | tr -d '"' | tr ':' ' ' |
    awk '{ ran[$1] += $2 } END { for (key in ran) print key, ran[key] }' | sort >"$DIR/ran"
grep -oE '\{"class":"hold"[^}]*"outcome":"answered"' "$DIR/report.json" |
    sed -E 's/.*"key":"([^"]+)".*/\1/' | sort >"$DIR/answered"
ANSWERED=$(wc -l <"$DIR/answered")
TWICE=$(awk '$2 > 1' "$DIR/ran" | wc -l)
MISSING=$(cut -d ' ' -f 1 "$DIR/ran" | comm -13 - "$DIR/answered" | wc -l)

grep '^class=' "$DIR/caller.out"
echo "demo: holds answered $ANSWERED, run twice $TWICE, answered but not run $MISSING"
SUMMARY=$(sed -nE 's/^caller: (served .*)$/\1/p' "$DIR/caller.out")
echo "demo: $SUMMARY"
[[ $TWICE -eq 0 && $MISSING -eq 0 && $ANSWERED -gt 0 ]]
[[ $SUMMARY =~ ^served\ ([0-9]+)\ of\ ([0-9]+),\ broken\ flows\ 0$ ]]
[[ ${BASH_REMATCH[1]} -gt 0 && ${BASH_REMATCH[1]} -eq ${BASH_REMATCH[2]} ]]
