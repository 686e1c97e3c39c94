#!/usr/bin/env bash
# A planned stop answers every request that the router has read, including those that wait for a slot at the end of the
# grace period and those that an upstream still runs. A reload of the settings sets the grace period.
TEST=stopwait BASE=55
. "$(dirname "$0")/fixture.sh"
startFleet muhur
settings="$OUT/node-$NEAR.1.json"
sed -i 's/"log": "json"/"log": "json", "limits": {"stopGraceMs": 1500}/' "$settings"
kill -HUP "${DAEMON_PIDS[$NEAR.1]}"
waitFor 5 grep -q settings-reloaded "$OUT/daemon-$NEAR.1.log"
for host in "$NEAR.1" "$NEAR.2" "$FAR.1"; do
    setFault "$host:9001" '{"hang": true}'
done
callerPids=()
for number in $(seq 40); do # there are 15 slots
    curl -s -m 20 -X POST -d seal -o /dev/null -w '%{http_code}\n' "http://127.1.$NEAR.1:8080/muhur/orders/$number" \
        >"$OUT/status.$number" &
    callerPids+=($!)
done
sleep 0.5
kill -TERM "${DAEMON_PIDS[$NEAR.1]}"
for pid in "${callerPids[@]}"; do
    wait "$pid" || true
done
unanswered=$(cat "$OUT"/status.* | grep -c '^000$' || true)
if [ "$unanswered" -ne 0 ]; then
    echo "FAILED $TEST: $unanswered of 40 requests were cut off without an answer"
    exit 1
fi
echo "passed $TEST"
