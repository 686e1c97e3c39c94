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
MIN_ROUNDS=8
MAX_ROUNDS=40
ADDED_TARGET_MS=1.9
RATES="100 500 1000"
if [ "${1:-}" = "--quick" ]; then
    QUICK=--quick
    SEEDS=5
    RATES="100 500"
fi
failed=0
passed=0

verdict() { # name condition(0 or 1) text...
    local name=$1 condition=$2
    shift 2
    if [ "$condition" = 1 ]; then
        passed=$((passed + 1))
        echo "ok: $name: $*"
    elif grep -q "^bench: $name\$" KNOWN-RED.txt 2>/dev/null; then
        echo "known red: $name: $*"
    else
        failed=$((failed + 1))
        echo "FAILED: $name: $*"
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
runCallers() { # name rate seed: every other request goes to the upstream directly, so that both arms meet the same load
    "$BUILD/packages/testing/stand-in-callers" --router 127.1.35.1:8080 --compare-with 127.1.35.2:9001 \
        --work '{"kind":"lookup","path":"/sicil/records","bytes":1000}' --rate "$((2 * $2))" --connections 20 \
        --seconds "$SECONDS_PER_RUN" --seed "$3" --json >"$OUT/$1.json"
}
value() { grep -o "\"$2\":[0-9.]*" "$OUT/$1.json" | cut -d: -f2; }
addedMs() { awk -v a="$(value pair "p$1Ms")" -v b="$(value pair "comparedP$1Ms")" 'BEGIN { printf "%.3f\n", a - b }'; }
medianInterval() { # prints the bounds of the median's 95% interval, from the ranks of a binomial distribution
    sort -n | awk '{ line[NR] = $1 }
        END { rank = int(NR / 2 - 0.98 * sqrt(NR)); if (rank < 1) rank = 1; print line[rank], line[NR + 1 - rank] }'
}
decide() { # target: prints below or above if the interval on standard input lies on one side of the target
    awk -v t="$1" '{ print ($2 <= t) ? "below" : ($1 > t) ? "above" : "undecided" }'
}
median() { sort -n | awk '{ line[NR] = $1 } END { print line[int((NR + 1) / 2)] }'; }
cpuTicks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
residentKb() { awk '/VmRSS/ { print $2 }' "/proc/$1/status"; }
idleKb=$(residentKb "${PID[1]}")
startTicks=$(cpuTicks "${PID[1]}")
sleep 3
idleCpuShare=$(awk -v t="$(($(cpuTicks "${PID[1]}") - startTicks))" 'BEGIN { print t / 100 / 3 }')
echo "idle daemon: $idleKb KB resident, $idleCpuShare of a CPU core"
for rate in $RATES; do
    # Stalls of the machine last longer than a round, so rounds are added until the median is known well enough.
    : >"$OUT/added50"
    : >"$OUT/added99"
    usedTicks=0
    requestCount=0
    decision=undecided
    for round in $(seq "$MAX_ROUNDS"); do
        before=$(($(cpuTicks "${PID[1]}") + $(cpuTicks "${PID[2]}")))
        runCallers pair "$rate" "$round"
        usedTicks=$((usedTicks + $(cpuTicks "${PID[1]}") + $(cpuTicks "${PID[2]}") - before))
        requestCount=$((requestCount + $(value pair requests)))
        addedMs 50 >>"$OUT/added50"
        addedMs 99 >>"$OUT/added99"
        decision=$(medianInterval <"$OUT/added99" | decide "$ADDED_TARGET_MS")
        [ "$round" -ge "$MIN_ROUNDS" ] && [ "$decision" != undecided ] && break
    done
    cpuMs=$(awk -v t="$usedTicks" -v n="$requestCount" 'BEGIN { printf "%.3f", t * 10 / n }')
    echo "rate $rate: $round rounds, added p99 ms in each: $(tr '\n' ' ' <"$OUT/added99"); router and gate $cpuMs ms" \
        "of CPU time per request, router $(residentKb "${PID[1]}") KB resident"
    verdict "added-p99-at-$rate" "$([ "$decision" = below ] && echo 1 || echo 0)" \
        "median of the rounds: added p50 $(median <"$OUT/added50") ms, p99 $(median <"$OUT/added99") ms, 95% interval of" \
        "the p99 $(medianInterval <"$OUT/added99" | tr ' ' -) ms, target $ADDED_TARGET_MS: $decision"
done
stopProcesses
OUT=$BENCH_OUT

echo "== membership and configuration"
"$BUILD/packages/membership/gossip-bench" $QUICK --json "$OUT/gossip.json"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
