#!/usr/bin/env bash
# Verifies the operation protocol in model/operations.pml with SPIN, and checks that SPIN rejects each mutant of it.
set -euo pipefail
cd "$(dirname "$0")/.."
OUT=out/model
rm -rf "$OUT"
mkdir -p "$OUT"

verify() { # name defines...: explores all states of the model or stops at the first violation
    local name=$1 dir
    shift
    dir="$OUT/$name"
    mkdir -p "$dir"
    (
        cd "$dir"
        spin -a "$@" ../../../model/operations.pml >/dev/null
        cc -O2 -DSAFETY -DMEMLIM=4096 -DCOLLAPSE -w -o pan pan.c
        ./pan -m1000000 >pan.log 2>&1
    )
}

holds() { grep -q "errors: 0$" "$OUT/$1/pan.log" && ! grep -q -e "not completed" -e "too small" "$OUT/$1/pan.log"; }
isRejected() { grep -q "assertion violated" "$OUT/$1/pan.log"; }
storedStates() { grep -E "states, stored" "$OUT/$1/pan.log" | awk '{ print $1 }'; }

failed=0
verify protocol
if holds protocol; then
    echo "protocol: holds, $(storedStates protocol) states"
else
    echo "protocol: VIOLATED, see $OUT/protocol/pan.log"
    failed=1
fi
for mutant in RUN_WITHOUT_LEDGER CLOSE_WITHOUT_MARK ROUTER_SAYS_NOT_RUN LEDGER_AFTER_DISPATCH FORGET_EARLY REUSE_INCARNATION; do
    verify "$mutant" "-D$mutant"
    if isRejected "$mutant"; then
        echo "mutant $mutant: rejected ($(grep -o 'assertion violated.*' "$OUT/$mutant/pan.log" | head -1))"
    else
        echo "mutant $mutant: NOT rejected"
        failed=1
    fi
done
[ "$failed" -eq 0 ] && echo "7 passed, 0 failed"
exit "$failed"
