#!/usr/bin/env bash
# Upstreams answer with a head, a body, a chunk's header or a trailer that never ends, and a caller sends such a request:
# the slots are free again soon after the callers' deadline, and no daemon keeps the bytes.
TEST=endless BASE=56
. "$(dirname "$0")/fixture.sh"
startFleet sicil
SLOTS=15     # of all three upstreams
RELEASE_TIMEOUT_S=4.5 # the deadline of the class roadside-lookup is 3 s
MEMORY_LIMIT_KB=$((160 * 1024)) # of the smallest machine

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

expectSmallDaemons() { # part
    local host peak
    for host in "${HOSTS[@]}"; do
        peak=$(awk '/^VmHWM:/ {print $2}' "/proc/${DAEMON_PIDS[${host/ /.}]}/status")
        if [ -z "$peak" ] || [ "$peak" -gt "$MEMORY_LIMIT_KB" ]; then
            echo "FAILED $TEST: the daemon of host ${host/ /.} took ${peak:-?} kB of memory, endless $1"
            exit 1
        fi
    done
}

# Sends a request whose first chunk header does not end, until the daemon closes the connection or 3 s have passed.
sendEndlessRequest() {
    {
        printf 'POST /sicil/endless HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2;'
        yes x | tr -d '\n'
    } | timeout 3 bash -c "cat >/dev/tcp/127.1.$NEAR.1/8080" 2>/dev/null || true
}

sendEndlessRequest
expectSmallDaemons request

for part in head body chunk trailer; do
    setFaultOnAll "{\"endless\": \"$part\"}"
    requestPids=()
    for ((request = 0; request < SLOTS; ++request)); do
        curl -s --limit-rate 2M -o /dev/null --max-time 8 "http://127.1.$NEAR.1:8080/sicil/$request" &
        requestPids+=($!)
    done
    sleep "$RELEASE_TIMEOUT_S"
    expectNoneRunning "$part"
    expectSmallDaemons "$part"
    wait "${requestPids[@]}" || true
    setFaultOnAll '{}'
    sleep 6 # until the upstreams are trusted again
    runCallers "after-$part" --work "$LOOKUP" --rate 100 --connections 15 --seconds 2 --seed 31 --tries 3
    expectAllComplete "after-$part"
done
echo "passed $TEST"
