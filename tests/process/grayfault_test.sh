#!/usr/bin/env bash
# One upstream is slow, fails, hangs or truncates its answers: every caller still gets its own complete answer.
TEST=grayfault BASE=16
. "$(dirname "$0")/fixture.sh"
startFleet sicil
for fault in '{"extraMs": 600}' '{"errorShare": 1}' '{"hang": true}' '{"truncate": true}'; do
    setFault "$NEAR.2:9001" "$fault"
    runCallers gray --work "$LOOKUP" --rate 150 --connections 15 --seconds 3 --seed 14 --tries 3
    expectAllComplete gray
    setFault "$NEAR.2:9001" '{}'
    sleep 1
done
echo "passed $TEST"
