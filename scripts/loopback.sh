# Functions for scripts that run processes on loopback. Scripts source this file from the root of
# the repository.
#
# Child processes write to a temporary directory, which KEEP_LOGS=yes keeps. They are killed by
# process id when the script ends.

PROFILE=${PROFILE:-release}
if [ "$PROFILE" = release ]; then
    cargo build --quiet --locked --release -p monsoon-daemon -p monsoon-standin -p monsoon-ctl --bins
else
    cargo build --quiet --locked -p monsoon-daemon -p monsoon-standin -p monsoon-ctl --bins
fi
BIN=target/$PROFILE
DIR=$(mktemp -d)
CHILDREN=()

# end_children: kills the remaining child processes.
end_children() {
    for pid in "${CHILDREN[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    CHILDREN=()
}

clean_up() {
    end_children
    if [ "${KEEP_LOGS:-no}" = yes ]; then
        echo "logs are in $DIR"
    else
        rm -rf "$DIR"
    fi
}
trap clean_up EXIT

# start NAME COMMAND...: starts a child process and sets LAST_PID. Its standard output goes to
# NAME.out, its standard error to NAME.log.
start() {
    local name=$1
    shift
    "$@" >"$DIR/$name.out" 2>"$DIR/$name.log" &
    LAST_PID=$!
    CHILDREN+=("$LAST_PID")
}

# fail TEXT: reports a failed step with the last log lines, and exits.
fail() {
    echo "$(basename "$0" .sh): $1" >&2
    tail -n 5 "$DIR"/*.log >&2 || true
    exit 1
}

# wait_for FILE PATTERN: waits until a line of the file matches; fails after 20 s.
wait_for() {
    for _ in $(seq 200); do
        if grep -qE "$2" "$DIR/$1" 2>/dev/null; then
            return 0
        fi
        sleep 0.1
    done
    fail "no line '$2' in $1 after 20 s"
}

# address NAME KEY: prints the value of KEY in the ready line of a child process.
address() {
    wait_for "$1.out" '^ready'
    sed -nE "s/^ready.*[ ]$2=([^ ]+).*/\1/p" "$DIR/$1.out" | head -n 1
}

# settings NAME ROLE DATA_CENTRE: writes the settings that all daemons have to NAME.toml.
settings() {
    cat >"$DIR/$1.toml" <<EOF
role = "$2"
environment = "production"
data_centre = "$3"
control = "127.0.0.1:0"
data = "127.0.0.1:0"
peer = "127.0.0.1:0"
admin = "127.0.0.1:0"
seeds = [${SEEDS:-}]
store = ["$PLATFORM"]
keys = "$DIR/certs/keys.toml"

[tls]
certificate = "$DIR/certs/server.pem"
key = "$DIR/certs/server.key"
authority = "$DIR/certs/ca.pem"

EOF
}

# document COUNT SLOTS: prints a document with COUNT data centres and SERVICES services.
document() {
    echo 'tenant = "karavanex"'
    local number
    for number in $(seq "$1"); do
        printf '[[data_centre]]\nname = "place-%d"\nnumber = %d\nregion = "morava"\n' "$number" "$number"
    done
    service 1 192.0.2.1 "$2"
    # The balancers have no socket for the other services.
    for number in $(seq 2 "${SERVICES:-1}"); do
        service "$number" "198.18.$((number / 256)).$((number % 256))" "$2"
    done
}

# service NUMBER ADDRESS SLOTS: prints one service of a document.
service() {
    cat <<EOF
[[service]]
name = "service-$1"
number = $1
addresses = ["$2:443"]
slots = $3
connections = 2000
cold_share = 0.1
[[service.class]]
name = "board"
method = "GET"
path = "/board"
stream = true
idempotent = true
weight = 1
[[service.class]]
name = "hold"
method = "POST"
path = "/holds"
idempotent = false
weight = 1
deadline_ms = 2000
EOF
}

# apply COUNT SLOTS: writes such a document to the store.
apply() {
    document "$1" "$2" >"$DIR/document.toml"
    "$BIN/monsoonctl" --store "$PLATFORM" --env production --author measure \
        apply "$DIR/document.toml" >"$DIR/apply.out"
}

# fit COLUMN NAME: prints the least-squares line of a column over the size, with its residuals.
fit() {
    awk -v column="$1" -v name="$2" '
        { x[NR] = $1; y[NR] = $column; sx += $1; sy += $column }
        END {
            for (i = 1; i <= NR; i++) {
                above += (x[i] - sx / NR) * (y[i] - sy / NR)
                below += (x[i] - sx / NR) ^ 2
            }
            slope = above / below
            base = sy / NR - slope * sx / NR
            printf "%s = %.2f + %.4f x size; residuals", name, base, slope
            for (i = 1; i <= NR; i++) printf " %+.2f", y[i] - base - slope * x[i]
            print ""
        }' "$DIR/rows"
}

mkdir "$DIR/certs"
"$BIN/monsoon-standin" certs --dir "$DIR/certs" >"$DIR/certs.out"
