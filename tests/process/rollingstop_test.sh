#!/usr/bin/env bash
# Planned stops in series under load, each daemon in turn and again with the platform out: no connection ends without the
# answer to a request that was sent on it, and every request is answered.
TEST=rollingstop BASE=59
. "$(dirname "$0")/fixture.sh"
startFleet sicil muhur
PORTS="9001 9002"

hasExited() { ! kill -0 "$1" 2>/dev/null; }
restart() { # R H
    local pid=${DAEMON_PIDS["$1.$2"]}
    kill -TERM "$pid"
    waitFor 12 hasExited "$pid"
    launchDaemon "$1" "$2"
    waitFor 12 hasReadyUpstreams "$1" "$2" sicil 3
    waitFor 12 hasReadyUpstreams "$1" "$2" muhur 3
}

runCallers rolling --work "$LOOKUP" --work "$OPERATION" --rate 150 --connections 20 --seconds 55 --seed 17 &
callersPid=$!
sleep 1
for mode in up down; do
    setPlatform "$mode"
    for host in "${HOSTS[@]}"; do
        read -r r h <<<"$host"
        restart "$r" "$h"
    done
done
setPlatform up
if hasExited "$callersPid"; then
    echo "FAILED $TEST: the load ended before the last restart"
    exit 1
fi
wait "$callersPid"
expectAllComplete rolling
expectField rolling cut 0
echo "passed $TEST"
