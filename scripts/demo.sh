#!/usr/bin/env bash
# Builds the project, starts both example deployments as real processes, runs load against them, prints their burn
# reports and request counts, and stops every process that it started. Each deployment has 3 regions of 2 data centres;
# each data centre has one host with a daemon and one upstream of each service: 12 daemons and 36 upstreams in all.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
OUT=out/demo
rm -rf "$OUT"
mkdir -p "$OUT"
. scripts/fleet.sh
trap stopProcesses EXIT

SECONDS_DRIVEN=${SECONDS_DRIVEN:-5}
DIRECTORATE=(11 12 21 22 31 32)
BUNDESSTELLE=(41 42 51 52 61 62)

startDeployment() { # name platform control slots cost services data-centres...
    local name=$1 platform=$2 control=$3 slots=$4 cost=$5 services=$6 r service port
    shift 6
    startPlatform "$platform"
    "$BUILD/packages/ctl/mustardctl" --platform "$platform" apply "examples/$name/objects.json"
    startLinks "$control" "${@/%/.1}"
    for r in "$@"; do
        writeSettings "$OUT/node-$r.1.json" "$r" 1 "$platform" "$cost" "$1.1" "$3.1"
        "$BUILD/packages/daemon/mustardpond" --check-settings "$OUT/node-$r.1.json" >/dev/null
        startDaemon "$r" 1
        port=9001
        for service in $services; do
            startUpstream "$service" "$r" 1 "$port" "$slots"
            port=$((port + 1))
        done
    done
}

waitForDeployment() { # services data-centres...
    local services=$1 r service
    shift
    for r in "$@"; do
        for service in $services; do
            waitFor 20 hasReadyUpstreams "$r" 1 "$service" 6
        done
    done
}

runCallers() { # name organisation lookup operation upload data-centres...
    local name=$1 organisation=$2 lookup=$3 operation=$4 upload=$5 r port
    shift 5
    local arguments=()
    for r in "$@"; do
        arguments+=(--router "127.1.$r.1:8080")
        for port in 9001 9002 9003; do
            arguments+=(--upstream "127.1.$r.1:$port")
        done
    done
    "$BUILD/packages/testing/stand-in-callers" "${arguments[@]}" --organisation "$organisation" \
        --work "{\"kind\":\"lookup\",\"path\":\"/$lookup/records\",\"bytes\":2000,\"weight\":8}" \
        --work "{\"kind\":\"operation\",\"path\":\"/$operation/orders\",\"bytes\":200,\"weight\":1}" \
        --work "{\"kind\":\"upload\",\"path\":\"/$upload/files\",\"bytes\":3000000,\"weight\":0.2}" \
        --rate 200 --connections 24 --seconds "$SECONDS_DRIVEN" >"$OUT/$name.line"
}

startDeployment directorate 127.1.100.1:7400 127.1.100.1:7500 5 10 "sicil muhur kanit" "${DIRECTORATE[@]}"
startDeployment bundesstelle 127.1.100.2:7400 127.1.100.2:7500 7 0.2 "dienstplan tauschamt saalplan" "${BUNDESSTELLE[@]}"
waitForDeployment "sicil muhur kanit" "${DIRECTORATE[@]}"
waitForDeployment "dienstplan tauschamt saalplan" "${BUNDESSTELLE[@]}"

result=0
runCallers directorate inspectors sicil muhur kanit "${DIRECTORATE[@]}" &
directoratePid=$!
runCallers bundesstelle attendants dienstplan tauschamt saalplan "${BUNDESSTELLE[@]}" &
bundesstellePid=$!
wait "$directoratePid" || result=1
wait "$bundesstellePid" || result=1

for platform in 127.1.100.1:7400 127.1.100.2:7400; do
    "$BUILD/packages/ctl/mustardctl" --platform "$platform" burn
done

stopProcesses
trap - EXIT
awk '{ for (i = 1; i <= NF; i++) { split($i, pair, "="); if (!(pair[1] in sum)) order[++count] = pair[1]; sum[pair[1]] += pair[2] } }
     END { for (i = 1; i <= count; i++) printf "%s%s=%d", (i > 1 ? " " : ""), order[i], sum[order[i]]; print "" }' \
    "$OUT/directorate.line" "$OUT/bundesstelle.line"
exit "$result"
