/*
 * Claims of one key by two claimants on one stream of the log.
 *
 * A claimant starts reading at the oldest kept entry, appends a claim, folds the
 * stream up to it, and runs the request if its claim came first. Appends land
 * late, twice or never. Each claimant may crash once and pause anywhere, entries expire, and
 * an attempt may be given up before its verdict.
 *
 * Each switch takes one guard away:
 *   NO_READ_BACK        runs as soon as its append has landed
 *   NO_WINNER_RELEASE   any release frees the key
 *   NO_COVERAGE         runs a key although older entries were not read
 *   NO_SINGLE_USE       a grant may be used again
 *   NO_GIVEN_UP         an attempt that was given up may still run
 *   NO_ONE_VERDICT      a claim is judged each time it lands
 *   NO_FRESH_READ       "not run" from a fold that may lag behind
 *   ANY_FIRST           a given-up attempt is "not run" although it is not the first
 *
 * Transitions and their Go functions in pkg/claim:
 *   Network        journal.Log.Append; the log's retention
 *   fold           Shard.Apply, Shard.Skip
 *   Begin          Claimant.Begin, participant.begin
 *   verdict        participant.settleOne, runner.judge
 *   deadline       participant.giveUp
 *   use            Grant.Use, participant.use
 *   the grant      Grant.Complete, Grant.Release, participant.end
 *   restart        a new Claimant with a new ID
 */
#define ENTRIES  4   /* the most that land */
#define ATTEMPTS 3   /* claims 1 and 2 belong to claimant 0, claim 3 to claimant 1 */
#define NONE     0

mtype = { CLAIM, RELEASE };
mtype = { IDLE, WAITING, WON, RAN, RELEASED, GIVEN_UP, LOST, GONE };

typedef Entry { mtype kind; byte id; bool late /* a claim after its own release */ };

Entry log[ENTRIES];
byte length = 0;
byte first = 0;                    /* entries before it have expired */
bool claimFlying[ATTEMPTS + 1];
bool releaseFlying[ATTEMPTS + 1];
bool releaseLanded[ATTEMPTS + 1];
#ifdef NO_READ_BACK
bool landed[ATTEMPTS + 1];         /* the answer of its append could arrive */
#endif
mtype state[ATTEMPTS + 1] = IDLE;
bool toldNotRun[ATTEMPTS + 1];
byte runs = 0;
bool asked = false;                /* some attempt of the key was made */

#define bit(id) (1 << (id))

/* Forgets what can't land any more, for fewer states. */
inline land_no_more() {
	claimFlying[1] = false; claimFlying[2] = false; claimFlying[3] = false;
	releaseFlying[1] = false; releaseFlying[2] = false; releaseFlying[3] = false
}

inline put(k, i) {
	log[length].kind = k;
	log[length].id = i;
	log[length].late = (k == CLAIM && releaseLanded[i]);
	length++;
	if
	:: length == ENTRIES -> land_no_more()
	:: else
	fi
}

/* The network lands appends in any order or never, and one of them twice. */
proctype Network() {
	byte i;
	bool again = true;
end:	do
	:: atomic { length < ENTRIES ->
		select(i : 1 .. ATTEMPTS);
		if
		:: claimFlying[i] -> put(CLAIM, i);
#ifdef NO_READ_BACK
			landed[i] = true;
#endif
			if
			:: claimFlying[i] = false
			:: again -> again = false
			fi
		:: releaseFlying[i] -> put(RELEASE, i); releaseLanded[i] = true;
			if
			:: releaseFlying[i] = false
			:: again -> again = false
			fi
		:: else
		fi;
		i = 0 }
	:: d_step { first < length ->
		log[first].kind = 0; log[first].id = 0; log[first].late = false;
		first++ }
	od
}

inline forget() {
	id = NONE;
	ranBefore = false;
	isFirst = false
}

inline tellNotRun() {
	assert(!ranBefore);            /* it did not run before this attempt began */
	assert(state[id] != RAN);
	toldNotRun[id] = true
}

/* Shard.Apply and Shard.Skip */
inline fold() {
	d_step {
		if
		:: next < first ->
			next = first;
#ifndef NO_COVERAGE
			unknown = true;
			next = 0;
			holder = NONE;
			seen = 0
#endif
		:: else ->
			if
			:: log[next].kind == CLAIM ->
				if
#ifdef NO_ONE_VERDICT
				:: holder == NONE ->
#else
				:: holder == NONE && !(seen & bit(log[next].id)) ->
#endif
					assert(unknown || !log[next].late);
					holder = log[next].id
				:: else
				fi
			:: log[next].kind == RELEASE ->
				if
#ifdef NO_WINNER_RELEASE
				:: true -> holder = NONE
#else
				:: holder == log[next].id -> holder = NONE
				:: else
#endif
				fi
			fi;
			seen = seen | bit(log[next].id);
			next++
		fi
	}
}

#define caughtUp   (next >= length)
#define busy       (id != NONE || tries < 2 - self)   /* its fold still matters */
#define holderDead (state[holder] == RELEASED || state[holder] == GIVEN_UP || state[holder] == LOST)

/* Grant.Use */
inline use() {
	atomic {
		assert(!toldNotRun[id]);
		runs++;
		assert(runs <= 1);
		state[id] = RAN
	}
}

/* Forgets all, as a new process of the same claimant. */
inline restart() {
	d_step {
		if
		:: id != NONE && state[id] != RELEASED && state[id] != GIVEN_UP && state[id] != LOST -> state[id] = GONE
		:: else
		fi;
		forget();
		next = first;
		holder = NONE;
		seen = 0;
#ifndef NO_COVERAGE
		if
		:: first > 0 -> unknown = true; next = 0
		:: else
		fi
#endif
	}
}

proctype Claimant(byte self) {
	byte tries = 0, next = 0, holder = NONE, seen = 0, id = NONE;
	bool crashed = false, unknown = false, ranBefore = false, isFirst = false;

	restart();
end:	do
	/* reads at any time */
	:: busy && !unknown && (!caughtUp || next < first) -> fold()

	/* Begin */
	:: atomic { id == NONE && tries < 2 - self ->
		tries++;
		id = self * 2 + tries;
		ranBefore = (runs > 0);
		isFirst = !asked;
		asked = true;
		if
		:: unknown -> state[id] = LOST; forget()       /* told unknown */
#ifdef NO_FRESH_READ
		:: !unknown && holder != NONE && holderDead -> tellNotRun(); state[id] = LOST; id = NONE
#endif
		:: !unknown -> state[id] = WAITING; claimFlying[id] = (length < ENTRIES)
		fi }

	/* the log's verdict */
#ifdef NO_READ_BACK
	:: atomic { id != NONE && state[id] == WAITING && landed[id] -> state[id] = WON }
#endif
	:: atomic { id != NONE && state[id] == WAITING && unknown -> state[id] = GONE; forget() }
	:: atomic { id != NONE && state[id] == WAITING && !unknown && holder == id -> state[id] = WON }
	:: atomic { id != NONE && state[id] == WAITING && !unknown && (seen & bit(id)) && holder != id ->
		if
		:: holder == NONE || holderDead -> tellNotRun()
		:: else                                        /* told unknown, or the stored answer */
		fi;
		state[id] = LOST; forget() }

	/* the deadline passes before the verdict */
	:: atomic { id != NONE && state[id] == WAITING ->
#ifdef ANY_FIRST
		tellNotRun();
#else
		if
		:: isFirst -> tellNotRun()
		:: else                                        /* told unknown */
		fi;
#endif
#ifndef NO_GIVEN_UP
		state[id] = GIVEN_UP;
		releaseFlying[id] = (length < ENTRIES);
		forget()
#endif
		}

	/* the grant */
	:: id != NONE && state[id] == WON -> use()
	:: atomic { id != NONE && state[id] == WON ->
		state[id] = RELEASED; releaseFlying[id] = (length < ENTRIES); tellNotRun(); forget() }
#ifdef NO_SINGLE_USE
	:: id != NONE && state[id] == RAN -> use()
#endif
	:: atomic { id != NONE && state[id] == RAN -> forget() }

	:: atomic { busy && !crashed && !(unknown && id == NONE) -> crashed = true; restart() }
	od
}

init {
	atomic { run Network(); run Claimant(0); run Claimant(1) }
}
