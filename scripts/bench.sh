#!/usr/bin/env bash
# Runs the benchmarks and checks their regression bounds, which are ratios between arms of one run or the users'
# targets. --quick takes less than 50 s. Results go to out/bench/*.json. A case listed in KNOWN-RED.txt is printed but
# not counted.
set -euo pipefail
cd "$(dirname "$0")/.."
OUT=out/bench
mkdir -p "$OUT"
. scripts/fleet.sh
trap stopProcesses EXIT

QUICK=""
SEEDS=20
SECONDS_PER_RUN=2
ROUNDS=5
RATES="100 500 1000"
if [ "${1:-}" = "--quick" ]; then
    QUICK=--quick
    SEEDS=5
    ROUNDS=3
    RATES="100 500"
fi
failed=0
passed=0

verdict() { # name condition(0 or 1) text
    if [ "$2" = 1 ]; then
        passed=$((passed + 1))
        echo "ok: $1: $3"
    elif grep -q "^bench: $1\$" KNOWN-RED.txt 2>/dev/null; then
        echo "known red: $1: $3"
    else
        failed=$((failed + 1))
        echo "FAILED: $1: $3"
    fi
}
atMost() { awk -v a="$1" -v b="$2" 'BEGIN { print (a <= b) ? 1 : 0 }'; }

echo "== detection and ejection, $SEEDS seeds"
"$BUILD/packages/decision/detection-bench" --seeds "$SEEDS" --json "$OUT/detection.json"
detectionResult() { # fault arm field
    awk -v fault="\"$1\"" -v arm="\"$2\"" -v field="\"$3\"" '
        /^  {/ { delete row }
        { key = $1; sub(":", "", key); value = $2; sub(",", "", value); row[key] = value }
        /^  }/ { if (row["\"fault\""] == fault && row["\"arm\""] == arm) print row[field] }' "$OUT/detection.json"
}
for fault in slow slightly-slow errors fast-errors class-errors hang flapping two-at-once; do
    p99=$(detectionResult "$fault" directorate detectionP99Ms)
    verdict "detection-$fault" "$(atMost "$p99" 1000)" "directorate p99 $p99 ms, target 1000"
    p50=$(detectionResult "$fault" directorate detectionP50Ms)
    probesP50=$(detectionResult "$fault" probes detectionP50Ms)
    verdict "detection-against-probes-$fault" "$(atMost "$p50" "$(awk -v p="$probesP50" 'BEGIN { print p / 10 }')")" \
        "directorate p50 $p50 ms, target a tenth of the probes' p50 of $probesP50 ms"
done
for fault in fast-errors hang; do
    p50=$(detectionResult "$fault" directorate detectionP50Ms)
    consecutiveP50=$(detectionResult "$fault" consecutive detectionP50Ms)
    verdict "detection-against-consecutive-$fault" "$(atMost "$p50" "$consecutiveP50")" \
        "directorate p50 $p50 ms, target the consecutive arm's p50 of $consecutiveP50 ms"
done
for fault in quiet bursts shared-slow brown-out; do
    for arm in directorate bundesstelle; do
        ejectionRate=$(detectionResult "$fault" "$arm" falseEjectionsPerHour)
        verdict "false-ejections-$fault-$arm" "$(atMost "$ejectionRate" 0)" \
            "$ejectionRate per upstream-hour, target 0"
    done
done

for arm in directorate bundesstelle; do
    retryRatio=$(detectionResult brown-out "$arm" retryShareInFault)
    verdict "retries-brown-out-$arm" "$(atMost "$retryRatio" 0.1)" \
        "$retryRatio of first attempts, target 0.1"
done

echo "== latency added by router and gate, compared with a direct connection in the same run"
BENCH_OUT=$OUT
OUT=$OUT/path
rm -rf "$OUT"
mkdir -p "$OUT"
PLATFORM=127.1.35.100:7400
startPlatform "$PLATFORM"
"$BUILD/packages/ctl/mustardctl" --platform "$PLATFORM" apply examples/directorate/objects.json >/dev/null
startLinks 127.1.35.100:7500 35.1 35.2
for h in 1 2; do
    writeSettings "$OUT/node-35.$h.json" 35 "$h" "$PLATFORM" 10 35.1 35.2
    sed -i "s/, \"advertisedInner\": \"[^\"]*\"//; s/\"seeds\": \[[^]]*\]/\"seeds\": [\"127.1.35.1:7000\"]/" "$OUT/node-35.$h.json"
    startDaemon 35 "$h"
    PID[h]=$LAST_PID
done
startUpstream sicil 35 2 9001 200
waitFor 20 hasReadyUpstreams 35 1 sicil 1
sleep 2
runCallers() { # name address rate seed
    "$BUILD/packages/testing/stand-in-callers" --router "$2" --work '{"kind":"lookup","path":"/sicil/records","bytes":1000}' \
        --rate "$3" --connections 20 --seconds "$SECONDS_PER_RUN" --seed "$4" --json >"$OUT/$1.json"
}
value() { grep -o "\"$2\":[0-9.]*" "$OUT/$1.json" | cut -d: -f2; }
addedMs() { awk -v a="$(value via "$1")" -v b="$(value direct "$1")" 'BEGIN { printf "%.3f\n", a - b }'; }
median() { sort -n | awk '{ line[NR] = $1 } END { print line[int((NR + 1) / 2)] }'; }
cpuTicks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
residentKb() { awk '/VmRSS/ { print $2 }' "/proc/$1/status"; }
idleKb=$(residentKb "${PID[1]}")
startTicks=$(cpuTicks "${PID[1]}")
sleep 3
idleCpuShare=$(awk -v t="$(($(cpuTicks "${PID[1]}") - startTicks))" 'BEGIN { print t / 100 / 3 }')
echo "idle daemon: $idleKb KB resident, $idleCpuShare of a CPU core"
for rate in $RATES; do
    # The arms alternate, so that a load burst of another program affects one round and not one arm. The median of
    # the rounds is checked.
    : >"$OUT/added50"
    : >"$OUT/added99"
    usedTicks=0
    requestCount=0
    for round in $(seq "$ROUNDS"); do
        runCallers direct 127.1.35.2:9001 "$rate" "$round"
        before=$(($(cpuTicks "${PID[1]}") + $(cpuTicks "${PID[2]}")))
        runCallers via 127.1.35.1:8080 "$rate" "$round"
        usedTicks=$((usedTicks + $(cpuTicks "${PID[1]}") + $(cpuTicks "${PID[2]}") - before))
        requestCount=$((requestCount + $(value via requests)))
        addedMs p50Ms >>"$OUT/added50"
        addedMs p99Ms >>"$OUT/added99"
    done
    cpuMs=$(awk -v t="$usedTicks" -v n="$requestCount" 'BEGIN { printf "%.3f", t * 10 / n }')
    added99=$(median <"$OUT/added99")
    echo "rate $rate: $ROUNDS rounds, added p99 ms in each: $(tr '\n' ' ' <"$OUT/added99"); router and gate $cpuMs ms" \
        "of CPU time per request, router $(residentKb "${PID[1]}") KB resident"
    verdict "added-p99-at-$rate" "$(atMost "$added99" 1.9)" \
        "median of the rounds: added p50 $(median <"$OUT/added50") ms, p99 $added99 ms, target 1.9"
done
stopProcesses
OUT=$BENCH_OUT

echo "== membership and configuration"
"$BUILD/packages/membership/gossip-bench" $QUICK --json "$OUT/gossip.json"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
