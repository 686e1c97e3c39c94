# Functions that start a small deployment for a case. A case sets HERE to its folder and BASE to a number from 1 to 254
# before it sources this file. It runs from the repository's root, with the program of the deploy file and the stand-ins
# that review/build-3.sh has built. All addresses are loopback addresses 127.1.BASE.HOST.
set -uo pipefail
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
cd "$ROOT" || exit 2
STANDINS=${STANDINS:-target/review-3}
DAEMON=target/mustardpond
TROUBLE=${TROUBLE:-1}
OUT=$(mktemp -d)
RECORD=$HERE/record.txt
: >"$RECORD"
PIDS=()
declare -A DAEMON_PIDS

now() { date +%s%3N; } # milliseconds
record() { echo "$(now) $*" >>"$RECORD"; }
cleanUp() {
    local pid
    for pid in "${PIDS[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    [ -n "${KEEP:-}" ] || rm -rf "$OUT"; [ -z "${KEEP:-}" ] || echo "$OUT"
}
trap cleanUp EXIT
cannotRun() { record "the case could not run: $*"; echo "could not run: $*"; exit 2; }
start() { # name command...; sets LAST_PID
    local name=$1
    shift
    "$@" >>"$OUT/$name.log" 2>&1 &
    LAST_PID=$!
    PIDS+=("$LAST_PID")
}
waitFor() { # seconds command...
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$end" ] || return 1
        sleep 0.1
    done
}
for program in "$DAEMON" "$STANDINS"/store "$STANDINS"/upstream "$STANDINS"/client "$STANDINS"/silentproxy "$STANDINS"/fetch; do
    [ -x "$program" ] || cannotRun "$program has not been built (deploy file's build, then review/build-3.sh)"
done
# Another network if this one is in use, as by another case.
while "$STANDINS/fetch" GET "127.1.$BASE.250:7400" /objects/config 1 "" >/dev/null; do BASE=$((160 + RANDOM % 90)); done
STORE=127.1.$BASE.250:7400
PLATFORM=$STORE # where the daemons reach the store
EXTRA_SETTINGS='' # of the deploy template's sections that the deployment has

# The file that deploy/settings.json gives for a machine of a small deployment.
settingsOf() { # host zone region service
    local ip=127.1.$BASE.$1
    cat <<EOF
{"node": "sidecar-$2-$1", "region": "$3", "dataCentre": "$2", "dialect": "platform", "refusal": "prompt",
 "detection": "gates", "service": "$4", "upstream": "$ip:8628", "caller": "$ip:8629", "inner": "$ip:8624",
 "local": "$ip:8620", "ready": "$ip:8625", "metrics": "$ip:7600", "platform": "$PLATFORM",
 "retries": {"share": 0.2, "extra": 58, "windowMs": 10e3}, $EXTRA_SETTINGS "log": "json",
 "limits": {"memoryMb": 260, "callerConnections": 3000, "waitingPerSlot": 10, "stopGraceMs": 6e3}}
EOF
}
startDaemon() { # host
    MUSTARDPOND_SETTINGS=$OUT/settings-$1.json start "daemon-$1" "$DAEMON"
    DAEMON_PIDS[$1]=$LAST_PID
}
isReady() { "$STANDINS/fetch" GET "127.1.$BASE.$1:8625" /ready 1 ""; }
startStore() {
    start store "$STANDINS/store" "$STORE"
    waitFor 10 "$STANDINS/fetch" GET "$STORE" /objects/config 1 "" || cannotRun "the store does not start"
}
createConfiguration() {
    "$STANDINS/fetch" POST "$STORE" /objects/config 2 "{\"metadata\": {\"name\": \"main\"}, \"spec\": $1}" >/dev/null
}
# Writes the configuration in its argument; prints the time at which the store has acknowledged it, in milliseconds.
writeConfiguration() {
    "$STANDINS/fetch" PUT "$STORE" /objects/config/main 2 "{\"metadata\": {\"name\": \"main\"}, \"spec\": $1}" \
        >/dev/null || return 1
    now
}
waitUntil() { # time in milliseconds
    local left=$(($1 - $(now)))
    [ "$left" -le 0 ] || sleep "$(printf '%d.%03d' $((left / 1000)) $((left % 1000)))"
}
