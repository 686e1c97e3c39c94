#!/usr/bin/env bash
# Bytes between regions are counted per organisation, including those of streamed uploads and answers.
TEST=regionbytes BASE=54
. "$(dirname "$0")/fixture.sh"
startFleet sicil kanit
for host in "$NEAR.1" "$NEAR.2"; do
    for port in 9001 9002; do
        curl -sf -X POST -d draining "http://127.1.$host:$port/-/state" >/dev/null
    done
done
onlyFarIsReady() { [ "$(countReadyUpstreams "$NEAR" 1 sicil)" = 1 ] && [ "$(countReadyUpstreams "$NEAR" 1 kanit)" = 1 ]; }
waitFor 10 onlyFarIsReady
countedBytes() { # organisation
    curl -sf "http://127.1.$NEAR.1:7100/metrics" | grep "region_bytes_total{organisation=\"$1\"}" | awk '{ print $2 + 0 }'
}
expectBetween() { # organisation least greatest
    local actual
    actual=$(countedBytes "$1")
    awk -v f="${actual:-0}" -v a="$2" -v b="$3" 'BEGIN { exit !(f >= a && f <= b) }' || {
        echo "FAILED $TEST: ${actual:-0} bytes counted for $1, expected $2 to $3"
        exit 1
    }
}
head -c 3000000 /dev/zero >"$OUT/photo"
curl -sf -m 20 -H 'Organisation: uploads' -H 'Mark: u' -T "$OUT/photo" "http://127.1.$NEAR.1:8080/kanit/files/u" >/dev/null
expectBetween uploads 3000000 3100000
curl -sf -m 20 -H 'Organisation: downloads' -H 'Mark: d' -o "$OUT/answer" \
    "http://127.1.$NEAR.1:8080/sicil/records/d?bytes=3000000"
expectBetween downloads 3000000 3100000
echo "passed $TEST"
