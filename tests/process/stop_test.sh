#!/usr/bin/env bash
# A planned stop of a daemon and a drain of an upstream under load: every request gets a complete answer, and the
# leaving upstreams run nothing more afterwards.
TEST=stop BASE=15
. "$(dirname "$0")/fixture.sh"
startFleet sicil muhur
PORTS="9001 9002"
runCallers stop --work "$LOOKUP" --work "$OPERATION" --rate 200 --connections 20 --seconds 10 --seed 13 &
callersPid=$!
sleep 2
curl -sf -X POST -d draining "http://127.1.$FAR.1:9001/-/state" >/dev/null
kill -TERM "${DAEMON_PIDS[$NEAR.2]}"
sleep 3
before="$(countRuns "$FAR.1:9001") $(countRuns "$NEAR.2:9001") $(countRuns "$NEAR.2:9002")"
wait "$callersPid"
after="$(countRuns "$FAR.1:9001") $(countRuns "$NEAR.2:9001") $(countRuns "$NEAR.2:9002")"
if [ "$before" != "$after" ]; then
    echo "FAILED $TEST: leaving upstreams kept running requests: run counts $before, later $after"
    exit 1
fi
expectAllComplete stop
echo "passed $TEST"
