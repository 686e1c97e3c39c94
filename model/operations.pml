/*
 * At most once, by operations that one gate incarnation mints.
 *
 * One caller opens one operation at the gate's first incarnation and sends it through two routers, each of which
 * may send it twice: a resend over a new connection, or a copy that the network delivers late. The gate may crash at
 * any step and start again as a new incarnation on the same address. Requests and answers may be lost. A router that
 * has waited long enough asks the gate to close the operation and tells the caller "not run" only if the gate says so.
 *
 * Checked: the upstream runs the operation at most once, and never after a caller was told "not run"; nor was it run
 * before. Mutants, one define each, must be rejected: see scripts/model.sh.
 */

#define ROUTERS 2
#define SENDINGS 2
#define CRASHES 1
#define IN_FLIGHT 4

mtype = { OPEN, RUNNING, RAN, LOST, CLOSED, ABSENT };
mtype = { RUN, CLOSE };
mtype = { SAYS_RAN, SAYS_NOT_RUN, SAYS_UNKNOWN };

/* kind, incarnation of the operation's gate, asking router */
chan toGate = [IN_FLIGHT] of { mtype, byte, byte };
/* answer to each router */
chan toRouter[ROUTERS] = [IN_FLIGHT] of { mtype };

byte incarnation = 1;   /* of the running gate */
mtype entry = OPEN;     /* the ledger's entry for the operation; lost in a crash */
byte runs = 0;          /* the upstream's own record */
bool toldNotRun = false;
byte crashes = 0;
bool expired = false;

#define KNOWN (incarnation == 1 && !expired)

inline reply(router, answer) {
    if
    :: nfull(toRouter[router]) -> toRouter[router] ! answer
    :: true -> skip /* the answer is lost */
    fi
}

/* A run has three steps: the ledger's entry, the dispatch, and the answer or its loss. A worker is one run. */
proctype Worker(byte router) {
    byte mine = incarnation;
    atomic {
        if
#ifdef LEDGER_AFTER_DISPATCH
        :: mine == incarnation -> runs++; assert(runs <= 1); assert(!toldNotRun)
#else
        :: mine == incarnation -> skip
#endif
        :: mine != incarnation -> goto gone
        fi
    }
    atomic {
        if
        :: mine == incarnation ->
#ifdef LEDGER_AFTER_DISPATCH
            entry = RUNNING
#else
            runs++; assert(runs <= 1); assert(!toldNotRun)
#endif
        :: mine != incarnation -> goto gone
        fi
    }
    atomic {
        if
        :: mine != incarnation -> skip
        :: mine == incarnation -> entry = RAN; reply(router, SAYS_RAN)
        :: mine == incarnation -> entry = LOST; reply(router, SAYS_UNKNOWN)
        fi
    }
gone:
    skip
}

active proctype Gate() {
    byte router;
    byte minted;
    mtype kind;
end:
    do
    :: atomic { toGate ? kind, minted, router ->
        if
        :: kind == RUN ->
            if
#ifdef REUSE_INCARNATION
            :: !expired && entry == ABSENT -> entry = RUNNING; run Worker(router)
#endif
#ifdef RUN_WITHOUT_LEDGER
            :: KNOWN && entry != CLOSED -> entry = RUNNING; run Worker(router)
#endif
#ifdef FORGET_EARLY
            :: expired -> expired = false; entry = RUNNING; run Worker(router)
#endif
            :: !KNOWN -> reply(router, SAYS_UNKNOWN)
            :: KNOWN && entry == OPEN ->
#ifndef LEDGER_AFTER_DISPATCH
                entry = RUNNING;
#endif
                run Worker(router)
            :: KNOWN && entry == RAN -> reply(router, SAYS_RAN)
            :: KNOWN && (entry == RUNNING || entry == LOST) -> reply(router, SAYS_UNKNOWN)
            :: KNOWN && entry == CLOSED -> reply(router, SAYS_NOT_RUN)
            fi
        :: kind == CLOSE ->
            if
            :: !KNOWN -> reply(router, SAYS_UNKNOWN)
            :: KNOWN && (entry == OPEN || entry == CLOSED) ->
#ifndef CLOSE_WITHOUT_MARK
                entry = CLOSED;
#endif
                reply(router, SAYS_NOT_RUN)
            :: KNOWN && entry == RAN -> reply(router, SAYS_RAN)
            :: KNOWN && (entry == RUNNING || entry == LOST) -> reply(router, SAYS_UNKNOWN)
            fi
        fi;
        kind = RUN; minted = 0; router = 0 }
    od
}

/* The operation's lifetime may end at any time; the gate's clock alone decides. */
active proctype Lifetime() {
    atomic { expired = true }
}

active proctype Crash() {
    do
    :: atomic { crashes < CRASHES -> crashes++; incarnation++; entry = ABSENT }
    :: break
    od
}

proctype Router(byte self) {
    byte sent = 0;
    mtype answer;
    do
    :: atomic { sent < SENDINGS && nfull(toGate) -> sent++; toGate ! RUN, 1, self }
    :: atomic { sent < SENDINGS -> sent++ /* lost on its way */ }
    :: sent > 0 -> break
    od;
#ifdef ROUTER_SAYS_NOT_RUN
    /* A router that never forwarded its copy, or saw it lost, concludes that nothing ran. */
    atomic { toldNotRun = true; assert(runs == 0) }
#else
    atomic { nfull(toGate) -> toGate ! CLOSE, 1, self };
    do
    :: atomic { toRouter[self] ? answer ->
        if
        :: answer == SAYS_NOT_RUN -> toldNotRun = true; assert(runs == 0); break
        :: answer == SAYS_RAN -> break
        :: else -> skip
        fi }
    :: timeout -> break /* the caller is told "unknown" */
    od;
    /* A copy that the network held back arrives after the caller was answered. */
    if
    :: atomic { nfull(toGate) -> toGate ! RUN, 1, self }
    :: skip
    fi
#endif
}

init {
    atomic { run Router(0); run Router(1) }
}
