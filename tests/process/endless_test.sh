#!/usr/bin/env bash
# Upstreams answer with a head or a body that never ends: their slots are free again soon after the callers' deadline.
TEST=endless BASE=56
. "$(dirname "$0")/fixture.sh"
startFleet sicil
SLOTS=15     # of all three upstreams
RELEASE_TIMEOUT_S=4.5 # the deadline of the class roadside-lookup is 3 s

setFaultOnAll() { # fault
    local host
    for host in "${HOSTS[@]}"; do
        setFault "${host/ /.}:9001" "$1"
    done
}

expectNoneRunning() { # part
    local host running
    for host in "${HOSTS[@]}"; do
        running=$(curl -sf "http://127.1.${host/ /.}:9001/-/records" | grep -o '"running":[0-9]*')
        if [ "$running" != '"running":0' ]; then
            echo "FAILED $TEST: upstream at ${host/ /.} still runs requests after $RELEASE_TIMEOUT_S s: $running, endless $1"
            exit 1
        fi
    done
}

for part in head body; do
    setFaultOnAll "{\"endless\": \"$part\"}"
    requestPids=()
    for ((request = 0; request < SLOTS; ++request)); do
        curl -s --limit-rate 2M -o /dev/null --max-time 8 "http://127.1.$NEAR.1:8080/sicil/$request" &
        requestPids+=($!)
    done
    sleep "$RELEASE_TIMEOUT_S"
    expectNoneRunning "$part"
    wait "${requestPids[@]}" || true
    setFaultOnAll '{}'
    sleep 6 # until the upstreams are trusted again
    runCallers "after-$part" --work "$LOOKUP" --rate 100 --connections 15 --seconds 2 --seed 31 --tries 3
    expectAllComplete "after-$part"
done
echo "passed $TEST"
