# Functions that start and stop a fleet of real processes on loopback addresses. Sourced by the other scripts.
# A data centre is a number R: its first digit gives the region. Host H of data centre R has the address 127.1.R.H.

BUILD=${BUILD:-build}
OUT=${OUT:-out/fleet}
PIDS=()

startProcess() { # name command...
    local name=$1
    shift
    "$@" >"$OUT/$name.out" 2>"$OUT/$name.log" &
    PIDS+=($!)
    LAST_PID=$!
}

stopProcesses() {
    local pid
    for pid in "${PIDS[@]}"; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -TERM "$pid" 2>/dev/null || true
    done
    for pid in "${PIDS[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    PIDS=()
}

waitFor() { # seconds command...
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        if [ "$SECONDS" -ge "$end" ]; then
            echo "timed out waiting for: $*" >&2
            return 1
        fi
        sleep 0.1
    done
}

regionOf() { # R
    case ${1:0:1} in
    1) echo ankara ;; 2) echo izmir ;; 3) echo bursa ;;
    4) echo ost ;; 5) echo west ;; 6) echo sued ;;
    esac
}

writeSettings() { # file R host platform cost seeds...
    local file=$1 r=$2 h=$3 platform=$4 cost=$5
    shift 5
    local seeds="" seed
    for seed in "$@"; do
        seeds+="${seeds:+, }\"127.2.$seed:7000\""
    done
    cat >"$file" <<EOF
{"node": "$(regionOf "$r")-$r-h$h", "region": "$(regionOf "$r")", "dataCentre": "$(regionOf "$r")-$r",
 "caller": "127.1.$r.$h:8080", "inner": "127.1.$r.$h:7000", "advertisedInner": "127.2.$r.$h:7000",
 "local": "127.1.$r.$h:7100", "bindAddress": "127.1.$r.$h", "platform": "$platform", "seeds": [$seeds],
 "lateDetectionCost": $cost, "log": "json"}
EOF
}

startPlatform() { # address
    startProcess "platform-$1" "$BUILD/packages/testing/stand-in-platform" --listen "$1"
    waitFor 10 curl -sf "http://$1/control"
}

startLinks() { # control-address R.H...
    local control=$1 host
    shift
    local arguments=()
    for host in "$@"; do
        arguments+=(--host "127.1.$host:7000")
    done
    startProcess "links-$control" "$BUILD/packages/testing/stand-in-links" --control "$control" "${arguments[@]}"
}

startDaemon() { # R H: the daemon logs to standard output, which goes to a file
    "$BUILD/packages/daemon/mustardpond" --settings "$OUT/node-$1.$2.json" >"$OUT/daemon-$1.$2.log" 2>&1 &
    PIDS+=($!)
    LAST_PID=$!
}

startUpstream() { # service R H port slots
    startProcess "upstream-$1-$2.$3" "$BUILD/packages/testing/stand-in-upstream" --id "$1-$2-$3" --service "$1" \
        --listen "127.1.$2.$3:$4" --daemon "127.1.$2.$3:7100" --slots "$5"
}

countReadyUpstreams() { # R H service: prints the number of ready upstreams in the daemon's status
    curl -sf "http://127.1.$1.$2:7100/status" | grep -o "\"service\":\"$3\",\"slots\":[0-9]*,\"state\":\"ready\"" | wc -l
}

hasReadyUpstreams() { # R H service count: whether at least count upstreams are ready
    [ "$(countReadyUpstreams "$1" "$2" "$3")" -ge "$4" ]
}
