/*
 * At-most-once execution of an operation that is valid for one incarnation of its gate.
 *
 * One caller opens one operation at the gate's first incarnation and sends it through two routers, each of which
 * may send it twice: a resend over a new connection, or a copy that the network delivers late. The gate may crash at
 * any step and restart as a new incarnation on the same address. Requests and answers may be lost. A router whose
 * request has timed out asks the gate to close the operation, and answers "not run" only if the gate confirms it.
 *
 * Checked: the upstream runs the operation at most once, and an operation that a caller was told is "not run" has run
 * neither before nor after that answer. Each mutant, selected by one define, must be rejected: see scripts/model.sh.
 */

#define ROUTERS 2
#define SENDINGS 2
#define CRASHES 1
#define IN_FLIGHT 4

mtype = { OPEN, RUNNING, RAN, LOST, CLOSED, ABSENT };
mtype = { RUN, CLOSE };
mtype = { SAYS_RAN, SAYS_NOT_RUN, SAYS_UNKNOWN };

/* kind, gate incarnation that opened the operation, requesting router */
chan toGate = [IN_FLIGHT] of { mtype, byte, byte };
/* answer to each router */
chan toRouter[ROUTERS] = [IN_FLIGHT] of { mtype };

byte incarnation = 1;   /* of the running gate */
mtype entry = OPEN;     /* the ledger's entry for the operation; lost in a crash */
byte runs = 0;          /* number of runs that the upstream has recorded */
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

/* One run in three steps: the ledger entry, the dispatch, and the answer or its loss. */
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

/* The operation's lifetime may end at any time, as it is measured by the gate's clock alone. */
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
    :: atomic { sent < SENDINGS -> sent++ /* lost in the network */ }
    :: sent > 0 -> break
    od;
#ifdef ROUTER_SAYS_NOT_RUN
    /* Mutant: a router that did not forward its copy, or lost it, concludes that nothing ran. */
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
    /* A copy that the network delayed arrives after the caller was answered. */
    if
    :: atomic { nfull(toGate) -> toGate ! RUN, 1, self }
    :: skip
    fi
#endif
}

init {
    atomic { run Router(0); run Router(1) }
}
