#!/usr/bin/env bash
# Callers are refused only under a refusal that its own director has approved, and only until it expires, also while the
# platform is down.
TEST=refusal BASE=12
. "$(dirname "$0")/fixture.sh"
startFleet sicil

status() { curl -s -o /dev/null -w '%{http_code}' -H 'Mark: r' "http://127.1.$NEAR.1:8080/sicil/records/r"; }
isRefused() { [ "$(status)" = 503 ]; }
isServed() { [ "$(status)" = 200 ]; }
fail() {
    echo "FAILED $TEST: $*"
    exit 1
}
expires=$((($(date +%s) + 600) * 1000))
cat >"$OUT/refusal.json" <<EOF
[{"kind": "refusal", "name": "rush", "value": {"service": "sicil", "class": "roadside-lookup", "share": 1,
  "expiresMs": $expires, "director": "aylin-demir", "state": "requested"}}]
EOF
ctl apply "$OUT/refusal.json"
ctl refusals | grep -q requested || fail "the requested refusal is not listed"
sleep 1
for _ in 1 2 3 4 5; do
    isServed || fail "a caller was refused under a refusal without approval"
done
code=0
ctl approve rush --director somebody 2>"$OUT/stranger" || code=$?
[ "$code" = 2 ] || fail "an approval by a person other than the director gave exit code $code"
ctl approve rush --director aylin-demir --minutes 0.15
waitFor 6 isRefused
curl -s -D "$OUT/head" -o "$OUT/body" "http://127.1.$NEAR.1:8080/sicil/records/r" || true
grep -q "Outcome: not-run" "$OUT/head" || fail "the refusal does not say that the request was not run"
grep -q "approved by aylin-demir" "$OUT/body" || fail "the refusal does not name its director"
setPlatform down
waitFor 20 isServed
echo "passed $TEST"
