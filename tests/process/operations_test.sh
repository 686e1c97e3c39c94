#!/usr/bin/env bash
# Irreversible operations while gates are killed, frozen and restarted: the upstreams' records show at most one run of
# each, including those whose caller was told "not run".
TEST=operations BASE=13
. "$(dirname "$0")/fixture.sh"
startFleet muhur

injectGateFaults() {
    local round
    for round in 1 2; do
        sleep 1
        kill -STOP "${DAEMON_PIDS[$NEAR.2]}"
        sleep 1
        kill -CONT "${DAEMON_PIDS[$NEAR.2]}"
        sleep 0.5
        kill -KILL "${DAEMON_PIDS[$FAR.1]}"
        sleep 1
        launchDaemon "$FAR" 1
        DAEMON_PIDS["$FAR.1"]=$LAST_PID
    done
}
runCallers faults --work "$OPERATION" --rate 100 --connections 20 --seconds 9 --seed 11 &
callersPid=$!
# Callers that do not repeat a request keep its first answer, so that a "not run" can be checked against the records.
runCallers single --work "$OPERATION" --rate 100 --connections 20 --seconds 9 --seed 12 --tries 1 &
singlePid=$!
injectGateFaults
wait "$callersPid" "$singlePid"
expectNoViolation faults
expectNoViolation single
[ "$(reportField faults whole)" -gt 0 ]
echo "passed $TEST"
