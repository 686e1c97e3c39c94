#!/usr/bin/env bash
# The burn report against counts of the callers' own: requests that succeed, then requests that one upstream fails.
TEST=burn BASE=53
. "$(dirname "$0")/fixture.sh"
startFleet sicil
fail() {
    echo "FAILED $TEST: $*"
    exit 1
}
send() { # count: prints how many were answered with status 200
    local good=0 status
    for _ in $(seq "$1"); do
        status=$(curl -s -m 5 -o /dev/null -w '%{http_code}' -H 'Mark: b' "http://127.1.$NEAR.1:8080/sicil/records/b")
        [ "$status" = 200 ] && good=$((good + 1))
    done
    echo "$good"
}
report() { ctl --json burn --html "$OUT/burn.html" >"$OUT/burn.json"; }
sumOf() { # field: over all classes, in the slowest window
    tr '{' '\n' <"$OUT/burn.json" | grep '"windowMs":3600000' | grep -o "\"$1\":[0-9]*" | cut -d: -f2 | awk '{ sum += $1 } END { print sum + 0 }'
}

[ "$(send 40)" = 40 ] || fail "not all of the first 40 requests succeeded"
report
[ "$(sumOf requests)" = 40 ] || fail "the report counts $(sumOf requests) requests, the caller 40"
[ "$(sumOf good)" = 40 ] || fail "the report counts $(sumOf good) good requests, the caller 40"
for host in "$NEAR.1" "$NEAR.2" "$FAR.1"; do
    setFault "$host:9001" '{"errorShare": 1}'
done
[ "$(send 30)" = 0 ] || fail "a request succeeded although all upstreams fail"
report
[ "$(sumOf requests)" = 70 ] || fail "the report counts $(sumOf requests) requests, the caller 70"
[ "$(sumOf good)" = 40 ] || fail "the report counts $(sumOf good) good requests, the caller 40"
blamed=$(grep -o '"bad":[0-9]*,"dataCentre":"[a-z]*-[0-9]*","upstream":"sicil' "$OUT/burn.json" | wc -l)
[ "$blamed" -ge 1 ] || fail "no upstream is named for the 30 failures"
grep -q '<svg' "$OUT/burn.html" || fail "the page holds no plot"
grep -Eq "<td>sicil-[0-9]+-[0-9]</td><td>[a-z]+-[0-9]+</td>" "$OUT/burn.html" || fail "the page names no upstream"
ctl burn | grep -q "not good by sicil" || fail "the text names no upstream"
ctl burn --html "$OUT/missing/burn.html" >/dev/null 2>"$OUT/error" && fail "a page that cannot be written gave no error"
grep -q "cannot write" "$OUT/error" || fail "the error does not name the remedy"
echo "passed $TEST"
