#!/usr/bin/env bash
# The platform is down before the first request: every class of work is still served, and a daemon that starts during
# the outage gets the configuration from its peers.
TEST=outage BASE=14
. "$(dirname "$0")/fixture.sh"
startFleet sicil muhur kanit
setPlatform down
kill -KILL "${DAEMON_PIDS[$NEAR.2]}"
launchDaemon "$NEAR" 2
for service in sicil muhur kanit; do
    waitFor 20 hasReadyUpstreams "$NEAR" 2 "$service" 3
    waitFor 20 hasReadyUpstreams "$FAR" 1 "$service" 3
done
waitFor 10 curl -sf "http://127.1.$NEAR.2:7100/ready"
PORTS="9001 9002 9003"
runCallers outage --work "$LOOKUP" --work "$OPERATION" --work "$UPLOAD" --rate 60 --connections 12 --seconds 4 --seed 12
expectAllComplete outage
echo "passed $TEST"
