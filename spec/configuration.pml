/*
 * Configuration stream: two writers race on one item, two readers fold the
 * log. Answers get lost, entries expire, readers restart with nothing, write
 * snapshots and hand each other their state.
 *
 * Switches, each of which removes one guard:
 *   NO_IDS       a second copy of a record is decided again
 *   NO_PRESUMES  the version that a record presumes is not compared
 *   NO_SNAPSHOT  a snapshot is taken although entries lie between it and its state
 *   NO_NEWEST    an older state replaces a newer one
 *   NO_COMPLETE  expired entries are skipped without asking the other reader
 *   NO_FORMAT    an entry of a newer format is passed over
 *
 * Transitions and their Go functions:
 *   append             journal.Writer.Append
 *   fold               fleet.State.Apply, journal.Follower.fold
 *   restoreSnapshot    journal.Follower.restoreNewest
 *   takePeer           journal.Follower.takePeer
 *   skipLost           journal.Follower.skip
 *   prepare, land      journal.Follower.writeSnapshot
 *
 * MAXLOG bounds the log's length; 4 checks in seconds, 5 in a minute.
 *
 * Assumption: the newest state that anyone folded is not lost altogether, so
 * a reader holds it, or the log still gives it (RECOVERABLE).
 */

#ifndef MAXLOG
#define MAXLOG 4
#endif
#define CHANGE 0
#define SNAPSHOT 1

/* The log: entries first to next-1 are kept. */
byte kind[MAXLOG+1], ident[MAXLOG+1], presumes[MAXLOG+1], format[MAXLOG+1];
byte sVer[MAXLOG+1], sSeen[MAXLOG+1], sAcc[MAXLOG+1]; /* state in a snapshot */
byte first = 1, next = 1;

/* Readers. Reader 0 knows format 1, reader 1 knows format 2. */
byte off[2], ver[2], seen[2], acc[2];
bool stopped[2];

/* What was observed. */
bool known[MAXLOG+1];
byte kVer[MAXLOG+1], kSeen[MAXLOG+1], kAcc[MAXLOG+1];
byte verdict[2];          /* of each record: 1 refused, 2 accepted */
byte winner[MAXLOG+1];    /* record accepted on each presumed version, plus 1 */
byte newestSeen;          /* newest offset that anyone folded */
byte newestVer;           /* newest version that anyone accepted */

#define RELEASE(r) ((r) + 1)
#define VALID(o) (kind[o] == SNAPSHOT && presumes[o] == (o) - 1)
#define KEPT(o) ((o) >= first && (o) < next)
#define HASSNAPSHOT(f) ( \
	(1 >= f && 1 < next && VALID(1)) || (2 >= f && 2 < next && VALID(2)) || \
	(3 >= f && 3 < next && VALID(3)) || (4 >= f && 4 < next && VALID(4)) || \
	(MAXLOG >= f && MAXLOG < next && VALID(MAXLOG)))
#define HOLDS(r, f) (off[r] > 0 && (off[r] >= newestSeen || off[r] + 1 >= f))
#define LOGGIVES(f) ((f) == 1 || HASSNAPSHOT(f))

#ifdef NO_SNAPSHOT
#define USABLE(o) (kind[o] == SNAPSHOT)
#else
#define USABLE(o) VALID(o)
#endif

#ifdef NO_NEWEST
#define NEWER(o, r) (1)
#else
#define NEWER(o, r) ((o) > off[r])
#endif

#ifdef NO_COMPLETE
#define NOTOLDER(r, other) (1)
#else
#define NOTOLDER(r, other) (off[r] >= off[other])
#endif

/* All readers at one offset have the same state, and nothing accepted reverts. */
inline check(r) {
	if
	:: known[off[r]] ->
		assert(kVer[off[r]] == ver[r] && kSeen[off[r]] == seen[r] && kAcc[off[r]] == acc[r])
	:: else ->
		known[off[r]] = true;
		kVer[off[r]] = ver[r];
		kSeen[off[r]] = seen[r];
		kAcc[off[r]] = acc[r]
	fi;
	assert(off[r] < newestVer || ver[r] >= newestVer);
	if
	:: off[r] > newestSeen -> newestSeen = off[r]
	:: else
	fi
}

/* Every copy of a record has one verdict, and one record wins each version. */
inline judge(id, v) {
	assert(verdict[id] == 0 || verdict[id] == v);
	verdict[id] = v
}

inline accept(r, o) {
	assert(winner[presumes[o]] == 0 || winner[presumes[o]] == ident[o] + 1);
	winner[presumes[o]] = ident[o] + 1;
	ver[r] = o;
	acc[r] = acc[r] | (1 << ident[o]);
	if
	:: o > newestVer -> newestVer = o
	:: else
	fi
}

inline foldChange(r, o) {
	if
#ifndef NO_IDS
	:: (seen[r] & (1 << ident[o])) != 0 ->
		judge(ident[o], 1 + ((acc[r] >> ident[o]) & 1))
#endif
#ifndef NO_PRESUMES
	:: else ->
		seen[r] = seen[r] | (1 << ident[o]);
		if
		:: presumes[o] == ver[r] ->
			accept(r, o);
			judge(ident[o], 2)
		:: else ->
			judge(ident[o], 1)
		fi
#else
	:: else ->
		seen[r] = seen[r] | (1 << ident[o]);
		accept(r, o);
		judge(ident[o], 2)
#endif
	fi
}

inline takeSnapshot(r, o) {
	ver[r] = sVer[o];
	seen[r] = sSeen[o];
	acc[r] = sAcc[o];
	off[r] = o
}

inline fold(r, o) {
	if
	:: format[o] > RELEASE(r) ->
#ifdef NO_FORMAT
		off[r] = o
#else
		stopped[r] = true
#endif
	:: format[o] <= RELEASE(r) && kind[o] == SNAPSHOT && USABLE(o) -> takeSnapshot(r, o)
	:: format[o] <= RELEASE(r) && kind[o] == SNAPSHOT && !USABLE(o) -> off[r] = o
	:: format[o] <= RELEASE(r) && kind[o] == CHANGE ->
		foldChange(r, o);
		off[r] = o
	fi;
	check(r)
}

/* Appends an entry. */
inline append(k, id, p, f, v, s, a) {
	kind[next] = k;
	ident[next] = id;
	presumes[next] = p;
	format[next] = f;
	sVer[next] = v;
	sSeen[next] = s;
	sAcc[next] = a;
	next++
}

/* Writes one record that presumes the version some reader holds. An answer may
 * be lost before or after the record takes effect, so there may be two copies
 * of writer 0's. Writer 1 may belong to a newer release. */
proctype Writer(byte id) {
	byte p;
	byte f = 1;
	atomic {
		if
		:: p = ver[0]
		:: p = ver[1]
		fi;
		if
		:: id == 1 -> f = 2
		:: true
		fi
	}
end:	atomic { next <= MAXLOG -> append(CHANGE, id, p, f, 0, 0, 0) }
	if
	:: atomic { id == 0 && next <= MAXLOG -> append(CHANGE, id, p, f, 0, 0, 0) }
	:: true
	fi
}

proctype Reader(byte r) {
	byte other = 1 - r;
	byte o;
	bool pending = false;
	byte pOff, pVer, pSeen, pAcc;

end:	do
	:: atomic { !stopped[r] && KEPT(off[r] + 1) -> 
		o = off[r] + 1;
		fold(r, o);
		o = 0 }

	/* restoreSnapshot: a reader that starts or whose next entry expired */
	:: atomic { !stopped[r] && (off[r] == 0 || off[r] + 1 < first) ->
		o = first;
		do
		:: o < next && USABLE(o) && format[o] <= RELEASE(r) && NEWER(o, r) ->
			takeSnapshot(r, o);
			check(r);
			break
		:: o < next -> o++
		:: o >= next -> break
		od;
		o = 0 }

	/* takePeer: the log is away, or it no longer gives the next entry */
	:: atomic { !stopped[r] && off[other] > 0 && RELEASE(other) <= RELEASE(r) && NEWER(off[other], r) ->
		assert(off[other] >= off[r]);
		off[r] = off[other];
		ver[r] = ver[other];
		seen[r] = seen[other];
		acc[r] = acc[other];
		check(r) }

	/* skipLost: neither the log nor the other reader has the entries */
	:: atomic { !stopped[r] && off[r] > 0 && off[r] + 1 < first && !HASSNAPSHOT(first) && NOTOLDER(r, other) ->
		off[r] = first - 1;
		check(r) }

	/* prepare and land: a snapshot, late or never */
	:: atomic { !stopped[r] && !pending && off[r] > 0 && off[r] == next - 1 ->
		pending = true;
		pOff = off[r];
		pVer = ver[r];
		pSeen = seen[r];
		pAcc = acc[r] }
	:: atomic { pending && next <= MAXLOG ->
		append(SNAPSHOT, 0, pOff, RELEASE(r), pVer, pSeen, pAcc);
		pending = false;
		pOff = 0;
		pVer = 0;
		pSeen = 0;
		pAcc = 0 }

	/* restart with nothing */
	:: atomic { off[r] > 0 && (LOGGIVES(first) || HOLDS(other, first)) ->
		off[r] = 0;
		ver[r] = 0;
		seen[r] = 0;
		acc[r] = 0;
		stopped[r] = false;
		pending = false }
	od
}

/* Expires the oldest entry. */
proctype Retention() {
end:	do
	:: atomic { first < next &&
		(LOGGIVES(first + 1) || HOLDS(0, first + 1) || HOLDS(1, first + 1) || newestSeen == 0) ->
		kind[first] = 0;
		ident[first] = 0;
		presumes[first] = 0;
		format[first] = 0;
		sVer[first] = 0;
		sSeen[first] = 0;
		sAcc[first] = 0;
		first++ }
	od
}

init {
	atomic {
		known[0] = true;
		run Writer(0);
		run Writer(1);
		run Reader(0);
		run Reader(1);
		run Retention()
	}
}
