/*
 * A withdrawn key is not served after the longest time that a proof of the newest configuration counts.
 *
 * A store holds version 1, which has a key, and at some time version 2, which withdraws it. Host 0 asks the store; it
 * also asks host 1 and answers its questions, as host 1 does, which the store does not answer. Answers may be lost or
 * arrive after any delay, also while a host is suspended. A host serves the key while it has version 1 in force and a
 * proof that no later version existed at most MAX_AGE ago.
 *
 * Time passes in whole steps between the events, for all at once. A proof is kept as its age on the host's clock, which
 * grows with each step; a mutant stops it while the host is suspended. An outstanding question is also an age: that of
 * the ping or of the call. Ages above OLD are equal to it, as nothing depends on them.
 *
 * Checked: no host serves the key more than MAX_AGE after version 2 was stored. Each mutant, selected by one define,
 * must be rejected: see scripts/model.sh.
 */

#define MAX_AGE 2
#define OLD 4           /* an age that no proof may have; also: no proof or no question */
#define HOSTS 2

byte stored = 1;        /* newest version in the store */
byte sinceChange = 0;   /* time since version 2 was stored, at most OLD */
byte applied[HOSTS] = 1;
byte provedVersion[HOSTS] = 0;
byte proofAge[HOSTS] = OLD;
bool suspended[HOSTS] = false;

/* Host 0's question to the store: whether one is outstanding, its age, and the version in the answer (0: none yet). */
bool calling = false;
byte callAge = 0;
byte callAnswer = 0;

/* A host's question to the other: whether one is outstanding, its age, and the answer (0: none yet). */
bool asking[HOSTS] = false;
byte askAge[HOSTS] = 0;
byte ackVersion[HOSTS] = 0;
byte ackProofAge[HOSTS] = 0;

#define OTHER(host) (1 - host)

inline grow(age) {
    if
    :: age < OLD -> age++
    :: else -> skip
    fi
}

#ifdef CLOCK_STOPS_WHEN_SUSPENDED
#define CLOCK_RUNS(host) (!suspended[host])
#else
#define CLOCK_RUNS(host) true
#endif

inline growAtHost(host, age) {
    if
    :: CLOCK_RUNS(host) && age < OLD -> age++
    :: else -> skip
    fi
}

/* A proof counts only if it is younger than the last one. */
inline take(host, version, age) {
    if
    :: version > 0 && age < proofAge[host] -> provedVersion[host] = version; proofAge[host] = age
    :: else -> skip
    fi
}

/* Whether the host serves requests with the key of version 1. */
#ifdef PROOF_OF_A_VERSION_NOT_APPLIED
#define SERVES(host) (!suspended[host] && applied[host] == 1 && proofAge[host] <= MAX_AGE)
#else
#define SERVES(host) (!suspended[host] && applied[host] == 1 && proofAge[host] <= MAX_AGE && provedVersion[host] <= 1 && provedVersion[host] > 0)
#endif

active proctype Time() {
end:
    do
    :: atomic {
        if
        :: stored == 2 -> grow(sinceChange)
        :: else -> skip
        fi;
        growAtHost(0, proofAge[0]); growAtHost(1, proofAge[1]);
        if
        :: calling -> growAtHost(0, callAge)
        :: else -> skip
        fi;
        if
        :: asking[0] -> growAtHost(0, askAge[0])
        :: else -> skip
        fi;
        if
        :: asking[1] -> growAtHost(1, askAge[1])
        :: else -> skip
        fi }
    od
}

/* Writes version 2, and answers the outstanding call at any time after it was sent, or never. */
active proctype Store() {
end:
    do
    :: atomic { stored == 1 -> stored = 2; sinceChange = 0 }
    :: atomic { calling && callAnswer == 0 -> callAnswer = stored }
    od
}

proctype Host(byte self) {
    byte age;
end:
    do
    :: atomic { SERVES(self) -> assert(stored == 1 || sinceChange <= MAX_AGE) }
    /* Suspension, and its end. */
    :: atomic { suspended[self] = !suspended[self] }
    /* The newest configuration arrives, by whatever way. It may never do. */
    :: atomic { !suspended[self] && stored > applied[self] -> applied[self] = stored }
    /* A call to the store is sent; the one before is given up, and its answer is lost. */
    :: atomic { !suspended[self] && self == 0 -> calling = true; callAge = 0; callAnswer = 0 }
    :: atomic { !suspended[self] && self == 0 && callAnswer > 0 ->
#ifdef DATED_AT_ARRIVAL
        age = 0;
#else
        age = callAge;
#endif
        take(self, callAnswer, age); calling = false; callAge = 0; callAnswer = 0; age = 0 }
    /* A ping is sent to the other host; a late answer to the one before is dropped. */
    :: atomic { !suspended[self] -> asking[self] = true; askAge[self] = 0; ackVersion[self] = 0; ackProofAge[self] = 0 }
    /* The other host's ping is answered. The answer is under way for any time, while its question grows older. */
    :: atomic { !suspended[self] && asking[OTHER(self)] && ackVersion[OTHER(self)] == 0 && proofAge[self] < OLD ->
        ackVersion[OTHER(self)] = provedVersion[self];
        ackProofAge[OTHER(self)] = proofAge[self] }
    :: atomic { !suspended[self] && ackVersion[self] > 0 ->
#ifdef AGE_OF_PEER_LEFT_OUT
        age = askAge[self];
#else
        age = askAge[self] + ackProofAge[self];
#endif
        take(self, ackVersion[self], age);
        asking[self] = false; askAge[self] = 0; ackVersion[self] = 0; ackProofAge[self] = 0; age = 0 }
    od
}

init {
    atomic { run Host(0); run Host(1) }
}
