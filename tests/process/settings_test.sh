#!/usr/bin/env bash
# Configuration changes take effect on every node and never revert, despite a lost answer of the platform, concurrent
# writes of two operators, an invalid value, an outage and a restart.
TEST=settings BASE=18
. "$(dirname "$0")/fixture.sh"
startFleet sicil

versionAt() { # R H: prints the version of the class that is in effect in the daemon
    curl -sf "http://127.1.$1.$2:7100/config" | grep -o '"class/roadside-lookup":[0-9]*' | cut -d: -f2
}
allNodesHaveVersion() { # version
    local host r h
    for host in "${HOSTS[@]}"; do
        read -r r h <<<"$host"
        [ "$(versionAt "$r" "$h")" = "$1" ] || return 1
    done
}
otherNodeHasVersion() { # version: whether a daemon has it that is not the one restarted below
    [ "$(versionAt "$NEAR" 2)" = "$1" ] || [ "$(versionAt "$FAR" 1)" = "$1" ]
}
watchVersions() { # reports each node whose version decreases, in $OUT/reverted
    local host r h previous current
    declare -A previousVersions
    while true; do
        for host in "${HOSTS[@]}"; do
            read -r r h <<<"$host"
            current=$(versionAt "$r" "$h" || true)
            previous=${previousVersions["$r.$h"]:-0}
            if [ -n "$current" ] && [ "$current" -lt "$previous" ]; then
                echo "$r.$h went from $previous to $current" >>"$OUT/reverted"
            fi
            [ -n "$current" ] && previousVersions["$r.$h"]=$current
        done
        sleep 0.05
    done
}
storedVersion() { ctl --json get class roadside-lookup | grep -o '"version":[0-9]*' | cut -d: -f2; }
fail() {
    echo "FAILED $TEST: $*"
    exit 1
}

watchVersions &
PIDS+=($!)
ctl set class roadside-lookup latencyTargetMs=160
waitFor 6 allNodesHaveVersion "$(storedVersion)"

setPlatform lose-answers
ctl set class roadside-lookup latencyTargetMs=170 || fail "a write that took effect was reported as failed"
setPlatform up
ctl get class roadside-lookup | grep -q '"latencyTargetMs":170' || fail "the write did not take effect"
waitFor 6 allNodesHaveVersion "$(storedVersion)"

code=0
ctl set class roadside-lookup latencyTargetMs=-5 2>"$OUT/invalid" || code=$?
[ "$code" = 2 ] || fail "an invalid value gave exit code $code"
grep -q "latencyTargetMs.*-5.*write a number from" "$OUT/invalid" ||
    fail "the error does not name the field, its value and the valid range"

ctl set class roadside-lookup latencyTargetMs=180 &
first=$!
ctl set class roadside-lookup latencyTargetMs=190 2>"$OUT/second" || [ $? = 3 ] ||
    fail "the write that lost the race was not reported as a conflict"
wait "$first" || [ $? = 3 ] || fail "the write that lost the race was not reported as a conflict"
waitFor 6 allNodesHaveVersion "$(storedVersion)"

ctl set class roadside-lookup latencyTargetMs=200
version=$(storedVersion)
# Whoever restarts during the outage can only learn the version from a daemon that has read it.
waitFor 6 otherNodeHasVersion "$version"
setPlatform down
kill -KILL "${DAEMON_PIDS[$NEAR.1]}"
launchDaemon "$NEAR" 1
waitFor 10 allNodesHaveVersion "$version"
[ ! -e "$OUT/reverted" ] || fail "$(cat "$OUT/reverted")"
echo "passed $TEST"
