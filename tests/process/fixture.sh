# Starts a fleet of three daemons for a process test: two in one data centre, one in another region. Each test sets
# TEST to its name and BASE to a data centre of its own before it sources this file, so that tests can run in parallel.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
OUT=out/tests/$TEST
rm -rf "$OUT"
mkdir -p "$OUT"
. scripts/fleet.sh
trap stopProcesses EXIT

PLATFORM=127.1.$BASE.100:7400
NEAR=$BASE                # data centre of hosts 1 and 2
FAR=$((BASE + 10))        # data centre of host 1 in another region
HOSTS=("$NEAR 1" "$NEAR 2" "$FAR 1")
declare -A DAEMON_PIDS UPSTREAM_PIDS

ctl() { "$BUILD/packages/ctl/mustardctl" --platform "$PLATFORM" "$@"; }
setPlatform() { curl -sf -X POST -d "{\"mode\": \"$1\"}" "http://$PLATFORM/control" >/dev/null; }
setFault() { curl -sf -X POST -d "$2" "http://127.1.$1/-/fault" >/dev/null; } # R.H:port fault
setLinks() { curl -sf -X POST -d "{\"cut\": [$1]}" "http://127.1.$BASE.100:7500" >/dev/null; }

launchDaemon() { # R H
    startDaemon "$1" "$2"
    DAEMON_PIDS["$1.$2"]=$LAST_PID
}

launchUpstream() { # service R H port
    startUpstream "$1" "$2" "$3" "$4" 5
    UPSTREAM_PIDS["$1-$2.$3"]=$LAST_PID
}

startFleet() { # services...
    local host r h port service
    startPlatform "$PLATFORM"
    ctl apply examples/directorate/objects.json >/dev/null
    startLinks "127.1.$BASE.100:7500" "$NEAR.1" "$NEAR.2" "$FAR.1"
    for host in "${HOSTS[@]}"; do
        read -r r h <<<"$host"
        writeSettings "$OUT/node-$r.$h.json" "$r" "$h" "$PLATFORM" 10 "$NEAR.1" "$NEAR.2" "$FAR.1"
        launchDaemon "$r" "$h"
        port=9001
        for service in "$@"; do
            launchUpstream "$service" "$r" "$h" "$port"
            port=$((port + 1))
        done
    done
    for host in "${HOSTS[@]}"; do
        read -r r h <<<"$host"
        for service in "$@"; do
            waitFor 20 hasReadyUpstreams "$r" "$h" "$service" 3
        done
    done
}

runCallers() { # name arguments...: runs the load generator against all routers; its JSON report goes to $OUT/name.json
    local name=$1 host r h port
    shift
    local arguments=()
    for host in "${HOSTS[@]}"; do
        read -r r h <<<"$host"
        arguments+=(--router "127.1.$r.$h:8080")
        for port in ${PORTS:-9001}; do
            arguments+=(--upstream "127.1.$r.$h:$port")
        done
    done
    "$BUILD/packages/testing/stand-in-callers" "${arguments[@]}" --organisation inspectors --json "$@" \
        >"$OUT/$name.json" || true
    cat "$OUT/$name.json"
}

reportField() { # name field
    grep -o "\"$2\":[0-9.]*" "$OUT/$1.json" | cut -d: -f2
}

expectField() { # name field value
    local actual
    actual=$(reportField "$1" "$2")
    if [ "$actual" != "$3" ]; then
        echo "FAILED $TEST: $2 is $actual, expected $3"
        exit 1
    fi
}

expectNoViolation() { # name: no answer was wrong, no operation ran twice or after "not run", nothing refused or lost
    local field
    for field in wrong duplicated falseNotRun refused lostUploads; do
        expectField "$1" "$field" 0
    done
}

expectAllComplete() { # name: in addition, every request got a complete answer
    expectNoViolation "$1"
    expectField "$1" whole "$(reportField "$1" requests)"
}

countRuns() { # R.H:port: prints the number of runs that the upstream has recorded
    curl -sf "http://127.1.$1/-/records" | grep -o '"runs":{[^}]*}' | grep -o ':[0-9]*' | tr -d ':' \
        | awk '{ sum += $1 } END { print sum + 0 }'
}

LOOKUP='{"kind":"lookup","path":"/sicil/records","bytes":1000}'
OPERATION='{"kind":"operation","path":"/muhur/orders","bytes":100}'
UPLOAD='{"kind":"upload","path":"/kanit/files","bytes":3000000}'
