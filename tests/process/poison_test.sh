#!/usr/bin/env bash
# A request crashes each upstream that runs it, and its caller repeats it through all routers: after the second crash it
# is quarantined on every router, and the third upstream stays up. The second case covers an upstream whose connections
# close before its listener, as the kernel may do for a killed process.
TEST=poison BASE=11
. "$(dirname "$0")/fixture.sh"
ROUTERS=("$NEAR.1" "$NEAR.2" "$FAR.1")
startFleet sicil

sendPoison() { # kind rounds: sends the same request through all routers in turn
    local router
    for _ in $(seq "$2"); do
        for router in "${ROUTERS[@]}"; do
            curl -s -m 5 -H "Poison: $1" -H 'Deadline-Ms: 1500' "http://127.1.$router:8080/sicil/records/$1" \
                >>"$OUT/replies-$1" || true
            sleep 1
        done
    done
}

expectQuarantinedWithOneAlive() { # kind
    local alive=0 router
    for router in "${ROUTERS[@]}"; do
        kill -0 "${UPSTREAM_PIDS[sicil-$router]}" 2>/dev/null && alive=$((alive + 1))
    done
    if [ "$alive" -ne 1 ]; then
        echo "FAILED $TEST: after the $1 requests, $alive of 3 upstreams are alive, expected 1"
        exit 1
    fi
    grep -q quarantined "$OUT/replies-$1" || {
        echo "FAILED $TEST: no caller was told that the $1 request is quarantined"
        exit 1
    }
}

sendPoison crash 4
expectQuarantinedWithOneAlive crash
for router in "${ROUTERS[@]}"; do
    kill -0 "${UPSTREAM_PIDS[sicil-$router]}" 2>/dev/null || launchUpstream sicil "${router%.*}" "${router#*.}" 9001
done
for router in "${ROUTERS[@]}"; do
    waitFor 20 hasReadyUpstreams "${router%.*}" "${router#*.}" sicil 3
done
sendPoison late-crash 1
expectQuarantinedWithOneAlive late-crash
echo "passed $TEST"
