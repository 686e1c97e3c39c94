#!/usr/bin/env bash
# One direction of a link is cut, then the other: lookups are answered through other gates, and operations, whose only
# gate is behind the cut link, run at most once.
TEST=cut BASE=17
. "$(dirname "$0")/fixture.sh"
startFleet sicil
launchUpstream muhur "$FAR" 1 9002
waitFor 20 hasReadyUpstreams "$NEAR" 1 muhur 1
waitFor 20 hasReadyUpstreams "$NEAR" 2 muhur 1
seed=15
for pair in "127.1.$NEAR.1>127.1.$FAR.1" "127.1.$FAR.1>127.1.$NEAR.1"; do
    runCallers cut --upstream "127.1.$FAR.1:9002" --work "$LOOKUP" --work "$OPERATION" --rate 100 --connections 20 --seconds 5 --seed "$seed" &
    callersPid=$!
    seed=$((seed + 1))
    sleep 1
    setLinks "\"$pair\""
    sleep 3
    setLinks ""
    wait "$callersPid"
    expectNoViolation cut
done
echo "passed $TEST"
