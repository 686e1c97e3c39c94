#!/usr/bin/env bash
# A request crashes each upstream that runs it, and its caller sends it again and again through all routers: the second
# crash closes it everywhere, and the third upstream goes on serving.
TEST=poison BASE=24
. "$(dirname "$0")/fixture.sh"
FAR=34
HOSTS=("$NEAR 1" "$NEAR 2" "$FAR 1")
startFleet sicil
for round in 1 2 3 4 5 6; do
    for router in "$NEAR.1" "$NEAR.2" "$FAR.1"; do
        curl -s -m 5 -H 'Poison: crash' -H 'Deadline-Ms: 1500' "http://127.1.$router:8080/sicil/records/poison" \
            >>"$OUT/replies" || true
        sleep 1
    done
done
alive=0
for host in "${HOSTS[@]}"; do
    read -r r h <<<"$host"
    kill -0 "${UPSTREAM_PIDS[sicil-$r.$h]}" 2>/dev/null && alive=$((alive + 1))
done
if [ "$alive" -ne 1 ]; then
    echo "FAILED $TEST: $alive of 3 upstreams are alive, expected 1"
    exit 1
fi
grep -q quarantined "$OUT/replies" || {
    echo "FAILED $TEST: no caller was told that the request is quarantined"
    exit 1
}
echo "passed $TEST"
