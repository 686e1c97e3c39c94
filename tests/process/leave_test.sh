#!/usr/bin/env bash
# Callers disconnect while their router waits for a gate that does not answer, first on a pooled connection and then on
# a new one: the router must neither crash nor stop serving.
TEST=leave BASE=57
. "$(dirname "$0")/fixture.sh"
startFleet sicil
runCallers warm --work "$LOOKUP" --rate 200 --connections 20 --seconds 2 --seed 71
expectAllComplete warm
kill -STOP "${DAEMON_PIDS[$NEAR.2]}" "${DAEMON_PIDS[$FAR.1]}"
for round in 1 2 3 4 5 6; do
    callerPids=()
    for number in $(seq 24); do
        curl -s -m "0.$((16 + number))" -o /dev/null "http://127.1.$NEAR.1:8080/sicil/records/$round-$number" &
        callerPids+=($!)
    done
    for pid in "${callerPids[@]}"; do
        wait "$pid" || true
    done
done
kill -CONT "${DAEMON_PIDS[$NEAR.2]}" "${DAEMON_PIDS[$FAR.1]}"
kill -0 "${DAEMON_PIDS[$NEAR.1]}" || {
    echo "FAILED $TEST: the router process has exited"
    exit 1
}
waitFor 10 curl -sf -m 1 "http://127.1.$NEAR.1:8080/sicil/records/after"
echo "passed $TEST"
