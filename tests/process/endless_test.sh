#!/usr/bin/env bash
# Upstreams answer with a head or a body that never ends: their slots are free again soon after the callers' deadline.
TEST=endless BASE=56
. "$(dirname "$0")/fixture.sh"
startFleet sicil
SLOTS=15     # of all three upstreams
LATEST_S=4.5 # the deadline of the class roadside-lookup is 3 s

setAll() { # fault
    local host
    for host in "${HOSTS[@]}"; do
        setFault "${host/ /.}:9001" "$1"
    done
}

expectIdle() { # part
    local host running
    for host in "${HOSTS[@]}"; do
        running=$(curl -sf "http://127.1.${host/ /.}:9001/-/records" | grep -o '"running":[0-9]*')
        if [ "$running" != '"running":0' ]; then
            echo "FAILED $TEST: upstream at ${host/ /.} still runs requests after ${LATEST_S} s ($running): endless $1"
            exit 1
        fi
    done
}

for part in head body; do
    setAll "{\"endless\": \"$part\"}"
    asked=()
    for ((request = 0; request < SLOTS; ++request)); do
        curl -s --limit-rate 2M -o /dev/null --max-time 8 "http://127.1.$NEAR.1:8080/sicil/$request" &
        asked+=($!)
    done
    sleep "$LATEST_S"
    expectIdle "$part"
    wait "${asked[@]}" || true
    setAll '{}'
    sleep 6 # until the upstreams are trusted again
    callers "after-$part" --work "$LOOKUP" --rate 100 --connections 15 --seconds 2 --seed 31 --tries 3
    expectAllWhole "after-$part"
done
echo "passed $TEST"
