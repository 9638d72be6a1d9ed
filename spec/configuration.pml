/*
 * Configuration stream: two writers change the same item at the same time, and two
 * readers apply the log. Responses to writes get lost, entries expire, and readers
 * restart without state, write snapshots and give each other their state.
 *
 * Each switch disables one guard:
 *   NO_DEDUPLICATION   a second copy of a record is decided on again
 *   NO_VERSION_CHECK   the version that a record presumes is not compared
 *   NO_SNAPSHOT_CHECK  a snapshot is used although entries lie between it and the state
 *                      that it contains
 *   NO_NEWEST_CHECK    an older state replaces a newer one
 *   NO_PEER_CHECK      expired entries are skipped without asking the other reader
 *   NO_FORMAT_CHECK    an entry of a newer format is skipped
 *
 * Transitions and their Go functions:
 *   appendEntry         journal.Writer.Append
 *   applyEntry          fleet.State.Apply, journal.Follower.applyEntry
 *   restoreSnapshot     journal.Follower.restoreNewest
 *   takePeer            journal.Follower.restoreFromPeer
 *   skipLost            journal.Follower.skipTo
 *   prepare, append     journal.Follower.writeSnapshot
 *
 * MAXLOG bounds the length of the log. Checking takes seconds with 4 and a minute
 * with 5.
 *
 * The model assumes that the newest state that any reader has had is never lost
 * altogether: either a reader still has it (READER_HAS_STATE), or it can be restored
 * from the log (LOG_HAS_STATE).
 */

#ifndef MAXLOG
#define MAXLOG 4
#endif
#define CHANGE 0
#define SNAPSHOT 1

/* The log: entries first to next-1 are kept. */
byte kind[MAXLOG+1], recordID[MAXLOG+1], presumes[MAXLOG+1], format[MAXLOG+1];
byte snapshotVersion[MAXLOG+1], snapshotSeen[MAXLOG+1], snapshotAccepted[MAXLOG+1]; /* the state in a snapshot */
byte first = 1, next = 1;

/* Readers. Reader 0 knows format 1, reader 1 knows format 2. */
byte offset[2], version[2], seenIDs[2], acceptedIDs[2];
bool stopped[2];

/* History for the assertions: the state that a reader had at each offset, and the
 * verdicts. */
bool offsetReached[MAXLOG+1];
byte reachedVersion[MAXLOG+1], reachedSeen[MAXLOG+1], reachedAccepted[MAXLOG+1];
byte verdict[2];                /* on each record: 1 refused, 2 accepted */
byte acceptedRecord[MAXLOG+1];  /* record accepted for each presumed version, plus 1 */
byte newestOffset;              /* newest offset that any reader has reached */
byte newestVersion;             /* newest version that any reader has accepted */

#define MAX_FORMAT(r) ((r) + 1)
#define VALID_SNAPSHOT(o) (kind[o] == SNAPSHOT && presumes[o] == (o) - 1)
#define KEPT(o) ((o) >= first && (o) < next)
#define HAS_SNAPSHOT(f) ( \
	(1 >= f && 1 < next && VALID_SNAPSHOT(1)) || (2 >= f && 2 < next && VALID_SNAPSHOT(2)) || \
	(3 >= f && 3 < next && VALID_SNAPSHOT(3)) || (4 >= f && 4 < next && VALID_SNAPSHOT(4)) || \
	(MAXLOG >= f && MAXLOG < next && VALID_SNAPSHOT(MAXLOG)))
#define READER_HAS_STATE(r, f) (offset[r] > 0 && (offset[r] >= newestOffset || offset[r] + 1 >= f))
#define LOG_HAS_STATE(f) ((f) == 1 || HAS_SNAPSHOT(f))

#ifdef NO_SNAPSHOT_CHECK
#define USABLE_SNAPSHOT(o) (kind[o] == SNAPSHOT)
#else
#define USABLE_SNAPSHOT(o) VALID_SNAPSHOT(o)
#endif

#ifdef NO_NEWEST_CHECK
#define NEWER(o, r) (1)
#else
#define NEWER(o, r) ((o) > offset[r])
#endif

#ifdef NO_PEER_CHECK
#define NOT_OLDER(r, other) (1)
#else
#define NOT_OLDER(r, other) (offset[r] >= offset[other])
#endif

/* Checks that all readers at one offset have the same state, and that no accepted
 * version is reverted. */
inline checkState(r) {
	if
	:: offsetReached[offset[r]] ->
		assert(reachedVersion[offset[r]] == version[r] && reachedSeen[offset[r]] == seenIDs[r] && reachedAccepted[offset[r]] == acceptedIDs[r])
	:: else ->
		offsetReached[offset[r]] = true;
		reachedVersion[offset[r]] = version[r];
		reachedSeen[offset[r]] = seenIDs[r];
		reachedAccepted[offset[r]] = acceptedIDs[r]
	fi;
	assert(offset[r] < newestVersion || version[r] >= newestVersion);
	if
	:: offset[r] > newestOffset -> newestOffset = offset[r]
	:: else
	fi
}

/* Checks that all copies of a record get the same verdict. */
inline recordVerdict(id, v) {
	assert(verdict[id] == 0 || verdict[id] == v);
	verdict[id] = v
}

/* Checks that only one record is accepted for each presumed version. */
inline acceptRecord(r, o) {
	assert(acceptedRecord[presumes[o]] == 0 || acceptedRecord[presumes[o]] == recordID[o] + 1);
	acceptedRecord[presumes[o]] = recordID[o] + 1;
	version[r] = o;
	acceptedIDs[r] = acceptedIDs[r] | (1 << recordID[o]);
	if
	:: o > newestVersion -> newestVersion = o
	:: else
	fi
}

inline applyChange(r, o) {
	if
#ifndef NO_DEDUPLICATION
	:: (seenIDs[r] & (1 << recordID[o])) != 0 ->
		recordVerdict(recordID[o], 1 + ((acceptedIDs[r] >> recordID[o]) & 1))
#endif
#ifndef NO_VERSION_CHECK
	:: else ->
		seenIDs[r] = seenIDs[r] | (1 << recordID[o]);
		if
		:: presumes[o] == version[r] ->
			acceptRecord(r, o);
			recordVerdict(recordID[o], 2)
		:: else ->
			recordVerdict(recordID[o], 1)
		fi
#else
	:: else ->
		seenIDs[r] = seenIDs[r] | (1 << recordID[o]);
		acceptRecord(r, o);
		recordVerdict(recordID[o], 2)
#endif
	fi
}

inline restoreState(r, o) {
	version[r] = snapshotVersion[o];
	seenIDs[r] = snapshotSeen[o];
	acceptedIDs[r] = snapshotAccepted[o];
	offset[r] = o
}

inline applyEntry(r, o) {
	if
	:: format[o] > MAX_FORMAT(r) ->
#ifdef NO_FORMAT_CHECK
		offset[r] = o
#else
		stopped[r] = true
#endif
	:: format[o] <= MAX_FORMAT(r) && kind[o] == SNAPSHOT && USABLE_SNAPSHOT(o) -> restoreState(r, o)
	:: format[o] <= MAX_FORMAT(r) && kind[o] == SNAPSHOT && !USABLE_SNAPSHOT(o) -> offset[r] = o
	:: format[o] <= MAX_FORMAT(r) && kind[o] == CHANGE ->
		applyChange(r, o);
		offset[r] = o
	fi;
	checkState(r)
}

/* Appends an entry. The parameters v, s and a are the state in a snapshot and 0 for a
 * change. */
inline appendEntry(k, id, p, f, v, s, a) {
	kind[next] = k;
	recordID[next] = id;
	presumes[next] = p;
	format[next] = f;
	snapshotVersion[next] = v;
	snapshotSeen[next] = s;
	snapshotAccepted[next] = a;
	next++
}

/* Writes one record that presumes the version of one of the readers. Writer 0 may write
 * its record twice, since it cannot tell whether an append without a response took
 * effect. Writer 1 may belong to a newer release. */
proctype Writer(byte id) {
	byte p;
	byte f = 1;
	atomic {
		if
		:: p = version[0]
		:: p = version[1]
		fi;
		if
		:: id == 1 -> f = 2
		:: true
		fi
	}
end:	atomic { next <= MAXLOG -> appendEntry(CHANGE, id, p, f, 0, 0, 0) }
	if
	:: atomic { id == 0 && next <= MAXLOG -> appendEntry(CHANGE, id, p, f, 0, 0, 0) }
	:: true
	fi
}

proctype Reader(byte r) {
	byte other = 1 - r;
	byte o;
	bool prepared = false;
	byte preparedOffset, preparedVersion, preparedSeen, preparedAccepted;

end:	do
	:: atomic { !stopped[r] && KEPT(offset[r] + 1) -> 
		o = offset[r] + 1;
		applyEntry(r, o);
		o = 0 }

	/* restoreSnapshot: the reader has just started, or its next entry has expired */
	:: atomic { !stopped[r] && (offset[r] == 0 || offset[r] + 1 < first) ->
		o = first;
		do
		:: o < next && USABLE_SNAPSHOT(o) && format[o] <= MAX_FORMAT(r) && NEWER(o, r) ->
			restoreState(r, o);
			checkState(r);
			break
		:: o < next -> o++
		:: o >= next -> break
		od;
		o = 0 }

	/* takePeer: the log is unreachable or no longer has the next entry */
	:: atomic { !stopped[r] && offset[other] > 0 && MAX_FORMAT(other) <= MAX_FORMAT(r) && NEWER(offset[other], r) ->
		assert(offset[other] >= offset[r]);
		offset[r] = offset[other];
		version[r] = version[other];
		seenIDs[r] = seenIDs[other];
		acceptedIDs[r] = acceptedIDs[other];
		checkState(r) }

	/* skipLost: neither the log nor the other reader has the next entries */
	:: atomic { !stopped[r] && offset[r] > 0 && offset[r] + 1 < first && !HAS_SNAPSHOT(first) && NOT_OLDER(r, other) ->
		offset[r] = first - 1;
		checkState(r) }

	/* prepare and append: a snapshot is appended late or never */
	:: atomic { !stopped[r] && !prepared && offset[r] > 0 && offset[r] == next - 1 ->
		prepared = true;
		preparedOffset = offset[r];
		preparedVersion = version[r];
		preparedSeen = seenIDs[r];
		preparedAccepted = acceptedIDs[r] }
	:: atomic { prepared && next <= MAXLOG ->
		appendEntry(SNAPSHOT, 0, preparedOffset, MAX_FORMAT(r), preparedVersion, preparedSeen, preparedAccepted);
		prepared = false;
		preparedOffset = 0;
		preparedVersion = 0;
		preparedSeen = 0;
		preparedAccepted = 0 }

	/* restart without state */
	:: atomic { offset[r] > 0 && (LOG_HAS_STATE(first) || READER_HAS_STATE(other, first)) ->
		offset[r] = 0;
		version[r] = 0;
		seenIDs[r] = 0;
		acceptedIDs[r] = 0;
		stopped[r] = false;
		prepared = false }
	od
}

/* Expires the oldest entry. */
proctype Retention() {
end:	do
	:: atomic { first < next &&
		(LOG_HAS_STATE(first + 1) || READER_HAS_STATE(0, first + 1) || READER_HAS_STATE(1, first + 1) || newestOffset == 0) ->
		kind[first] = 0;
		recordID[first] = 0;
		presumes[first] = 0;
		format[first] = 0;
		snapshotVersion[first] = 0;
		snapshotSeen[first] = 0;
		snapshotAccepted[first] = 0;
		first++ }
	od
}

init {
	atomic {
		offsetReached[0] = true;
		run Writer(0);
		run Writer(1);
		run Reader(0);
		run Reader(1);
		run Retention()
	}
}
