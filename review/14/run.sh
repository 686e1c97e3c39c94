#!/usr/bin/env bash
# Case 14: a node is killed and started again while the upstream beside it runs accepted requests. The calls that these
# make afterwards, which carry no key as PROTOCOL.md says, are answered 401.
HERE=$(cd "$(dirname "$0")" && pwd)
BASE=$((160 + RANDOM % 90))
. "$HERE/../standins-3/common.sh"
# The sections that deploy/settings.json gives where the site has tenants and quotas, with the bounds of tvsz-checkin.
EXTRA_SETTINGS='"keys": {"strict": true, "maxProofAgeMs": 5000},
 "quota": {"windowMs": 5e3, "overage": 0.1, "slack": 20, "dataCentres": ["hu-a"]},'
MAX_OUT_OF_TOUCH=10 # DENIED: more than ten from machines out of touch break the rule

route() { # name prefix kind service
    echo "{\"name\": \"$1\", \"host\": \"a.example\", \"path_prefix\": \"$2\", \"kind\": \"$3\", \"service\": \"$4\",
        \"timeout_s\": 12000, \"target_latency_s\": 6000, \"priority\": 1, \"max_attempts\": 2, \"auth_exempt\": false}"
}
CONFIGURATION="{\"version\": 7, \"routes\": [$(route seat /seat/ unsafe alpha), $(route inner /inner/ safe beta)],
    \"services\": [{\"name\": \"alpha\"}, {\"name\": \"beta\"}],
    \"limits\": {\"max_header_bytes\": 16384, \"max_body_bytes\": 67108864, \"header_timeout_s\": 3000, \"idle_timeout_s\": 15000},
    \"tenants\": [{\"name\": \"carrier\", \"api_keys\": [\"key-of-the-carrier\"], \"priority\": 1}]}"

startStore
createConfiguration "$CONFIGURATION" || cannotRun "the store refuses the configuration"
for host in 1 2 3; do
    if [ "$host" = 1 ]; then service=alpha; else service=beta; fi
    ip=127.1.$BASE.$host
    settingsOf "$host" hu-a hu "$service" >"$OUT/settings-$host.json"
    startDaemon "$host"
    start "upstream-$host" "$STANDINS/upstream" "i-$host" "$service" "$ip:8628" "$ip:8620" "$ip:8629" 60 \
        a.example /inner/run-20
done
for host in 1 2 3; do waitFor 15 isReady "$host" || cannotRun "host $host is not ready"; done
send() { # host prefix path per-second seconds
    "$STANDINS/client" "127.1.$BASE.$1:8629" POST "$3" a.example "$2" "$4" "$5" 40 12000 key-of-the-carrier >>"$OUT/client-$2.log"
}
serves() { send 2 "try$RANDOM" /seat/run-2500/call-300 8 1; grep -q ' 200 ' "$OUT"/client-try*.log; }
waitFor 20 serves || cannotRun "the deployment does not serve"
sleep 3
record "30 unsafe requests with a key go to the upstream of host 1, which makes a call of its own for each after 4.5 s"
send 2 a /seat/run-4500/call-300 15 1 &
CLIENT_A=$!
send 3 b /seat/run-4500/call-300 15 1 &
CLIENT_B=$!
sleep 1.5
[ "$(grep -c ' runs [ab]-' "$OUT/upstream-1.log")" = 30 ] || cannotRun "not all requests run"
if [ "$TROUBLE" != 0 ]; then
    kill -KILL "${DAEMON_PIDS[1]}"
    record "the node beside it is killed"
    sleep 0.5
    startDaemon 1
    record "and started again; the upstream runs on"
fi
wait "$CLIENT_A" "$CLIENT_B"
sleep 4
{
    echo "what the clients saw (time sent, id, status, time answered):"
    cat "$OUT/client-a.log" "$OUT/client-b.log"
    echo "what the upstream of host 1 saw:"
    grep -E '(runs|calls|called|ends) [ab]-' "$OUT/upstream-1.log"
} >>"$RECORD"
calls=$(grep -cE ' called [ab]-' "$OUT/upstream-1.log")
denied=$(grep -cE ' called [ab]-.*status=(401|403|404)' "$OUT/upstream-1.log")
record "calls made: $calls; answered 401, 403 or 404: $denied (the rule allows $MAX_OUT_OF_TOUCH from a machine out of touch)"
tail -n 1 "$RECORD"
[ "$calls" = 30 ] || cannotRun "the upstream made $calls calls instead of 30"
[ "$denied" -le "$MAX_OUT_OF_TOUCH" ] || exit 1
