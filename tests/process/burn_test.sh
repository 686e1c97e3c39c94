#!/usr/bin/env bash
# Compares the burn report with the caller's own counts, first while requests succeed, then while all upstreams fail.
TEST=burn BASE=53
. "$(dirname "$0")/fixture.sh"
startFleet sicil
fail() {
    echo "FAILED $TEST: $*"
    exit 1
}
send() { # count: prints how many requests were answered with status 200
    local good=0 status
    for _ in $(seq "$1"); do
        status=$(curl -s -m 5 -o /dev/null -w '%{http_code}' -H 'Mark: b' "http://127.1.$NEAR.1:8080/sicil/records/b")
        [ "$status" = 200 ] && good=$((good + 1))
    done
    echo "$good"
}
writeReport() { ctl --json burn --html "$OUT/burn.html" >"$OUT/burn.json"; }
sumOf() { # field: its sum over all classes, in the longest window
    tr '{' '\n' <"$OUT/burn.json" | grep '"windowMs":3600000' | grep -o "\"$1\":[0-9]*" | cut -d: -f2 | awk '{ sum += $1 } END { print sum + 0 }'
}

[ "$(send 40)" = 40 ] || fail "not all of the first 40 requests succeeded"
writeReport
[ "$(sumOf requests)" = 40 ] || fail "the report counts $(sumOf requests) requests, the caller 40"
[ "$(sumOf good)" = 40 ] || fail "the report counts $(sumOf good) good requests, the caller 40"
for host in "$NEAR.1" "$NEAR.2" "$FAR.1"; do
    setFault "$host:9001" '{"errorShare": 1}'
done
[ "$(send 30)" = 0 ] || fail "a request succeeded although all upstreams fail"
writeReport
[ "$(sumOf requests)" = 70 ] || fail "the report counts $(sumOf requests) requests, the caller 70"
[ "$(sumOf good)" = 40 ] || fail "the report counts $(sumOf good) good requests, the caller 40"
namedUpstreams=$(grep -o '"bad":[0-9]*,"dataCentre":"[a-z]*-[0-9]*","upstream":"sicil' "$OUT/burn.json" | wc -l)
[ "$namedUpstreams" -ge 1 ] || fail "no upstream is named for the 30 failures"
grep -q '<svg' "$OUT/burn.html" || fail "the HTML page contains no plot"
grep -Eq "<td>sicil-[0-9]+-[0-9]</td><td>[a-z]+-[0-9]+</td>" "$OUT/burn.html" || fail "the HTML page names no upstream"
ctl burn | grep -q "not good by sicil" || fail "the text report names no upstream"
ctl burn --html "$OUT/missing/burn.html" >/dev/null 2>"$OUT/error" &&
    fail "writing the HTML page into a missing folder gave no error"
grep -q "cannot write" "$OUT/error" || fail "the error does not say that the page cannot be written"
echo "passed $TEST"
