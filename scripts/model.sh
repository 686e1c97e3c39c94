#!/usr/bin/env bash
# Verifies the protocols in model/*.pml with SPIN, and checks that SPIN rejects each mutant of them.
set -euo pipefail
cd "$(dirname "$0")/.."
OUT=out/model
rm -rf "$OUT"
mkdir -p "$OUT"

verify() { # model name defines...: explores all states of the model or stops at the first violation
    local model=$1 name=$2 dir
    shift 2
    dir="$OUT/$name"
    mkdir -p "$dir"
    (
        cd "$dir"
        spin -a "$@" "../../../model/$model.pml" >/dev/null
        cc -O2 -DSAFETY -DMEMLIM=4096 -DCOLLAPSE -w -o pan pan.c
        ./pan -m1000000 >pan.log 2>&1
    )
}

holds() { grep -q "errors: 0$" "$OUT/$1/pan.log" && ! grep -q -e "not completed" -e "too small" "$OUT/$1/pan.log"; }
isRejected() { grep -q "assertion violated" "$OUT/$1/pan.log"; }
storedStates() { grep -E "states, stored" "$OUT/$1/pan.log" | awk '{ print $1 }'; }

passed=0
failed=0
verifyModel() { # model name mutants...
    local model=$1 name=$2 mutant
    shift 2
    verify "$model" "$name"
    if holds "$name"; then
        echo "$name: holds, $(storedStates "$name") states"
        passed=$((passed + 1))
    else
        echo "$name: VIOLATED, see $OUT/$name/pan.log"
        failed=$((failed + 1))
    fi
    for mutant in "$@"; do
        verify "$model" "$mutant" "-D$mutant"
        if isRejected "$mutant"; then
            echo "mutant $mutant: rejected ($(grep -o 'assertion violated.*' "$OUT/$mutant/pan.log" | head -1))"
            passed=$((passed + 1))
        else
            echo "mutant $mutant: NOT rejected"
            failed=$((failed + 1))
        fi
    done
}
verifyModel operations protocol RUN_WITHOUT_LEDGER CLOSE_WITHOUT_MARK ROUTER_SAYS_NOT_RUN LEDGER_AFTER_DISPATCH \
    FORGET_EARLY REUSE_INCARNATION
verifyModel freshness freshness DATED_AT_ARRIVAL AGE_OF_PEER_LEFT_OUT PROOF_OF_A_VERSION_NOT_APPLIED \
    CLOCK_STOPS_WHEN_SUSPENDED
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
