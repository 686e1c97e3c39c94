#!/usr/bin/env bash
# Open connections go silent permanently while new ones work, first those to an upstream, then those between the
# daemons: every request gets a complete answer, and no upstream is ejected.
TEST=silence BASE=52
. "$(dirname "$0")/fixture.sh"
startFleet sicil muhur

expectNoEjection() { # kind
    if grep -h upstream-ejected "$OUT"/daemon-*.log; then
        echo "FAILED $TEST: an upstream was ejected when connections $1 went silent"
        exit 1
    fi
}

expectSilenceDetected() { # text: the log reports that a request left a silent connection
    grep -h connection-silent "$OUT"/daemon-*.log | grep -q "$1" || {
        echo "FAILED $TEST: no request left a silent connection ($1)"
        exit 1
    }
}

runLoad() { # name seed
    runCallers "$1" --work "$LOOKUP" --work "$OPERATION" --rate 300 --connections 30 --seconds 4 --seed "$2"
}

for host in "$NEAR.1" "$NEAR.2" "$FAR.1"; do
    for port in 9001 9002; do
        setFault "$host:$port" '{"extraMs": 25}' # keeps many connections open
    done
done
runLoad warm 61
expectAllComplete warm
expectNoEjection "(none yet)"
for host in "$NEAR.1" "$NEAR.2" "$FAR.1"; do
    for port in 9001 9002; do
        setFault "$host:$port" '{}'
    done
done
for port in 9001 9002; do
    setFault "$NEAR.1:$port" '{"silenceOpen": true}'
done
runLoad upstream 62
expectAllComplete upstream
expectNoEjection "to an upstream"
expectSilenceDetected '"upstream"'
runLoad between 63 &
loadPid=$!
sleep 2
curl -sf -X POST -d '{"silence": true}' "http://127.1.$BASE.100:7500" >/dev/null
wait "$loadPid"
expectAllComplete between
expectNoEjection "between the daemons"
expectSilenceDetected '"gate"'
echo "passed $TEST"
