/*
 * Claims of one key by two claimants on one stream of the log.
 *
 * A claimant starts reading at the oldest kept entry, appends a claim, applies the
 * stream up to its claim, and runs the request if its claim came first. Appends can
 * land late, twice or never. Each claimant may crash once and pause anywhere, entries
 * expire, and an attempt may be cancelled before the log decides on its claim.
 *
 * Each switch disables one guard:
 *   NO_READ_BACK        a claimant runs the request once its claim was appended,
 *                       without reading it back
 *   NO_WINNER_RELEASE   any release frees the key, not only the winner's
 *   NO_GAP_CHECK        a claimant runs a key although it missed expired entries
 *   NO_SINGLE_USE       a grant may be used again
 *   NO_CANCELLATION     a cancelled attempt may still run
 *   NO_SINGLE_DECISION  a claim is decided on each time it lands
 *   NO_FRESH_READ       "not run" is reported from a state that may lag behind the log
 *   NO_FIRST_CHECK      a cancelled attempt is reported as "not run" although it was not
 *                       the first attempt
 *
 * Transitions and their Go functions in pkg/claim:
 *   Network          journal.Log.Append; the log's retention
 *   applyNext        Shard.Apply, Shard.Skip
 *   begin            Claimant.Begin, participant.begin
 *   decision         participant.settleAttempt, runner.resolveHeldKey
 *   cancellation     participant.giveUp
 *   useGrant         Grant.Use, participant.use
 *   end of a grant   Grant.Complete, Grant.Release, participant.end
 *   restart          a new Claimant with a new ID
 */
#define MAX_ENTRIES  4  /* appends that land at most */
#define ATTEMPTS 3      /* claims 1 and 2 belong to claimant 0, claim 3 to claimant 1 */
#define NONE     0

mtype = { CLAIM, RELEASE };
mtype = { IDLE, WAITING, WON, RAN, RELEASED, CANCELLED, REFUSED, UNTRACKED };

typedef Entry { mtype kind; byte id; bool afterRelease /* a claim that landed after its own release */ };

Entry log[MAX_ENTRIES];
byte length = 0;
byte firstKept = 0;  /* index of the oldest entry that has not expired */
bool claimInTransit[ATTEMPTS + 1];
bool releaseInTransit[ATTEMPTS + 1];
bool releaseAppended[ATTEMPTS + 1];
#ifdef NO_READ_BACK
bool claimAppended[ATTEMPTS + 1];  /* the claimant may know that its claim was appended */
#endif
mtype state[ATTEMPTS + 1] = IDLE;
bool reportedNotRun[ATTEMPTS + 1];
byte runs = 0;
bool attempted = false;  /* an attempt for the key was made before */

#define bit(id) (1 << (id))

/* Drops appends that can no longer land, to reduce the number of states. */
inline dropInTransit() {
	claimInTransit[1] = false; claimInTransit[2] = false; claimInTransit[3] = false;
	releaseInTransit[1] = false; releaseInTransit[2] = false; releaseInTransit[3] = false
}

inline appendEntry(k, i) {
	log[length].kind = k;
	log[length].id = i;
	log[length].afterRelease = (k == CLAIM && releaseAppended[i]);
	length++;
	if
	:: length == MAX_ENTRIES -> dropInTransit()
	:: else
	fi
}

/* The network delivers appends to the log in any order or never, and one of them twice.
 * The log may expire its oldest entry at any time. */
proctype Network() {
	byte i;
	bool mayDuplicate = true;
end:	do
	:: atomic { length < MAX_ENTRIES ->
		select(i : 1 .. ATTEMPTS);
		if
		:: claimInTransit[i] -> appendEntry(CLAIM, i);
#ifdef NO_READ_BACK
			claimAppended[i] = true;
#endif
			if
			:: claimInTransit[i] = false
			:: mayDuplicate -> mayDuplicate = false
			fi
		:: releaseInTransit[i] -> appendEntry(RELEASE, i); releaseAppended[i] = true;
			if
			:: releaseInTransit[i] = false
			:: mayDuplicate -> mayDuplicate = false
			fi
		:: else
		fi;
		i = 0 }
	:: d_step { firstKept < length ->
		log[firstKept].kind = 0; log[firstKept].id = 0; log[firstKept].afterRelease = false;
		firstKept++ }
	od
}

inline endAttempt() {
	id = NONE;
	ranBefore = false;
	isFirst = false
}

inline reportNotRun() {
	assert(!ranBefore);  /* the request had not run before this attempt began */
	assert(state[id] != RAN);
	reportedNotRun[id] = true
}

/* Shard.Apply and Shard.Skip */
inline applyNext() {
	d_step {
		if
		:: next < firstKept ->
			next = firstKept;
#ifndef NO_GAP_CHECK
			missedEntries = true;
			next = 0;
			holder = NONE;
			seenIDs = 0
#endif
		:: else ->
			if
			:: log[next].kind == CLAIM ->
				if
#ifdef NO_SINGLE_DECISION
				:: holder == NONE ->
#else
				:: holder == NONE && !(seenIDs & bit(log[next].id)) ->
#endif
					assert(missedEntries || !log[next].afterRelease);
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
			seenIDs = seenIDs | bit(log[next].id);
			next++
		fi
	}
}

#define caughtUp   (next >= length)
#define hasWork       (id != NONE || attempts < 2 - self)  /* it still needs to read the log */
#define holderEnded (state[holder] == RELEASED || state[holder] == CANCELLED || state[holder] == REFUSED)

/* Grant.Use */
inline useGrant() {
	atomic {
		assert(!reportedNotRun[id]);
		runs++;
		assert(runs <= 1);
		state[id] = RAN
	}
}

/* Discards all state, as when a new process of the claimant starts. */
inline restart() {
	d_step {
		if
		:: id != NONE && state[id] != RELEASED && state[id] != CANCELLED && state[id] != REFUSED -> state[id] = UNTRACKED
		:: else
		fi;
		endAttempt();
		next = firstKept;
		holder = NONE;
		seenIDs = 0;
#ifndef NO_GAP_CHECK
		if
		:: firstKept > 0 -> missedEntries = true; next = 0
		:: else
		fi
#endif
	}
}

proctype Claimant(byte self) {
	byte attempts = 0, next = 0, holder = NONE, seenIDs = 0, id = NONE;
	bool crashed = false, missedEntries = false, ranBefore = false, isFirst = false;

	restart();
end:	do
	/* applyNext: reading may happen at any time */
	:: hasWork && !missedEntries && (!caughtUp || next < firstKept) -> applyNext()

	/* begin */
	:: atomic { id == NONE && attempts < 2 - self ->
		attempts++;
		id = self * 2 + attempts;
		ranBefore = (runs > 0);
		isFirst = !attempted;
		attempted = true;
		if
		:: missedEntries -> state[id] = REFUSED; endAttempt()  /* reported as unknown */
#ifdef NO_FRESH_READ
		:: !missedEntries && holder != NONE && holderEnded -> reportNotRun(); state[id] = REFUSED; id = NONE
#endif
		:: !missedEntries -> state[id] = WAITING; claimInTransit[id] = (length < MAX_ENTRIES)
		fi }

	/* decision of the log */
#ifdef NO_READ_BACK
	:: atomic { id != NONE && state[id] == WAITING && claimAppended[id] -> state[id] = WON }
#endif
	:: atomic { id != NONE && state[id] == WAITING && missedEntries -> state[id] = UNTRACKED; endAttempt() }
	:: atomic { id != NONE && state[id] == WAITING && !missedEntries && holder == id -> state[id] = WON }
	:: atomic { id != NONE && state[id] == WAITING && !missedEntries && (seenIDs & bit(id)) && holder != id ->
		if
		:: holder == NONE || holderEnded -> reportNotRun()
		:: else  /* reported as unknown, or with the stored response */
		fi;
		state[id] = REFUSED; endAttempt() }

	/* cancellation: the deadline passes before the decision */
	:: atomic { id != NONE && state[id] == WAITING ->
#ifdef NO_FIRST_CHECK
		reportNotRun();
#else
		if
		:: isFirst -> reportNotRun()
		:: else  /* reported as unknown */
		fi;
#endif
#ifndef NO_CANCELLATION
		state[id] = CANCELLED;
		releaseInTransit[id] = (length < MAX_ENTRIES);
		endAttempt()
#endif
		}

	/* use and end of a grant */
	:: id != NONE && state[id] == WON -> useGrant()
	:: atomic { id != NONE && state[id] == WON ->
		state[id] = RELEASED; releaseInTransit[id] = (length < MAX_ENTRIES); reportNotRun(); endAttempt() }
#ifdef NO_SINGLE_USE
	:: id != NONE && state[id] == RAN -> useGrant()
#endif
	:: atomic { id != NONE && state[id] == RAN -> endAttempt() }

	:: atomic { hasWork && !crashed && !(missedEntries && id == NONE) -> crashed = true; restart() }
	od
}

init {
	atomic { run Network(); run Claimant(0); run Claimant(1) }
}
