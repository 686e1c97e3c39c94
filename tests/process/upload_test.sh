#!/usr/bin/env bash
# Large uploads are streamed with bounded memory: one of 50 MB, then 40 concurrent ones of 5 MB. Each arrives with the
# digest that its caller sent.
TEST=upload BASE=51
. "$(dirname "$0")/fixture.sh"
startFleet kanit
LARGE_UPLOAD='{"kind":"upload","path":"/kanit/files","bytes":50000000}'
CONCURRENT_UPLOAD='{"kind":"upload","path":"/kanit/files","bytes":5000000}'
runCallers big --work "$LARGE_UPLOAD" --rate 2 --connections 1 --seconds 2 --seed 21
expectAllComplete big
runCallers many --work "$CONCURRENT_UPLOAD" --rate 40 --connections 40 --seconds 2 --seed 22
expectAllComplete many
for host in "${!DAEMON_PIDS[@]}"; do
    peak=$(awk '/VmHWM/ { print $2 }' "/proc/${DAEMON_PIDS[$host]}/status")
    echo "daemon $host: peak memory $peak KB"
    if [ "$peak" -gt 131072 ]; then
        echo "FAILED $TEST: the daemon's peak memory is above 128 MB"
        exit 1
    fi
done
echo "passed $TEST"
