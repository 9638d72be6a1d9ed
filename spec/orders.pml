/*
 * Orders to a worker: one worker that may be a member of groups, the heads of these
 * groups, and two keepers that don't know of each other. Each keeper acts on its last
 * report of the worker, at any later time. Orders get lost, or are executed late and in
 * any order, and responses get lost.
 *
 * Each switch disables one guard:
 *   NO_COUNT_CHECK        the worker doesn't compare the count in an order with its own
 *   NO_CONSISTENT_REPORT  a keeper combines a new count with the group of an older report
 *   NO_GROUP_CHECK        a worker that is in a group is ordered to join another
 *   NO_READY_CHECK        a head is opened before the worker has reported ready
 *   CHECK_AT_ARRIVAL      the count is compared when an order arrives, not when it is
 *                         executed
 *
 * Transitions and their Go functions:
 *   receiveReport, mixReports  keeper.worker.applyReport
 *   receiveAnswer              keeper.worker.applyAnswer
 *   join, leave, open          formation.Decide, keeper.Keeper.sendOrders
 *   arrive, execute            the worker
 *
 * The model has no epochs, since the count alone must be sufficient. A group may be
 * ended at any time, because its head was given up, left or failed.
 */

#define MAX_GROUPS 3
#define MAX_IN_TRANSIT 2
#define MAX_ORDERS 5  /* orders sent at most */

#define NONE 0
#define JOIN 1
#define LEAVE 2

/* The worker. */
byte currentGroup;  /* 0 for none */
byte orderCount;
bool readyIn[MAX_GROUPS + 1];  /* the worker has been ready in the group */

/* Groups and their heads. */
byte groupsCreated;
bool isOpen[MAX_GROUPS + 1], ended[MAX_GROUPS + 1];
bool reportedReady[MAX_GROUPS + 1];  /* a keeper has seen the worker ready in the group */

/* Each keeper's last report of the worker. */
bool reportKnown[2];
byte reportedGroup[2], reportedCount[2];

/* Orders in transit. */
byte ordersSent;
byte operation[MAX_IN_TRANSIT], sender[MAX_IN_TRANSIT], orderGroup[MAX_IN_TRANSIT], expectedCount[MAX_IN_TRANSIT];
bool matchedAtArrival[MAX_IN_TRANSIT];  /* the count was equal on arrival */

#ifdef NO_COUNT_CHECK
#define COUNT_MATCHES(f) true
#else
#ifdef CHECK_AT_ARRIVAL
#define COUNT_MATCHES(f) matchedAtArrival[f]
#else
#define COUNT_MATCHES(f) (expectedCount[f] == orderCount)
#endif
#endif
#ifdef NO_GROUP_CHECK
#define NOT_IN_GROUP(k) true
#else
#define NOT_IN_GROUP(k) (reportedGroup[k] == NONE)
#endif
#ifdef NO_READY_CHECK
#define MAY_OPEN(g) true
#else
#define MAY_OPEN(g) reportedReady[g]
#endif

inline receiveReport(k)
{
	atomic { reportKnown[k] = true; reportedGroup[k] = currentGroup; reportedCount[k] = orderCount; reportedReady[currentGroup] = readyIn[currentGroup] }
}

inline mixReports(k)
{
	atomic { reportKnown[k] -> reportedCount[k] = orderCount }
}

inline clearReport(k)
{
	reportKnown[k] = false;
	reportedGroup[k] = 0;
	reportedCount[k] = 0
}

inline clearOrder(f)
{
	operation[f] = NONE;
	sender[f] = 0;
	orderGroup[f] = 0;
	expectedCount[f] = 0;
	matchedAtArrival[f] = false
}

inline sendOrder(f, k, w, g)
{
	ordersSent++;
	operation[f] = w;
	sender[f] = k;
	orderGroup[f] = g;
	expectedCount[f] = reportedCount[k];
	clearReport(k)
}

inline join(f, k)
{
	atomic {
		operation[f] == NONE && reportKnown[k] && NOT_IN_GROUP(k) && groupsCreated < MAX_GROUPS && ordersSent < MAX_ORDERS ->
		groupsCreated++;
		sendOrder(f, k, JOIN, groupsCreated)
	}
}

inline leave(f, k)
{
	atomic {
		operation[f] == NONE && reportKnown[k] && reportedGroup[k] != NONE && ordersSent < MAX_ORDERS ->
		sendOrder(f, k, LEAVE, reportedGroup[k])
	}
}

inline arrive(f)
{
	atomic { operation[f] != NONE && expectedCount[f] == orderCount -> matchedAtArrival[f] = true }
}

/* The keeper learns the outcome of its order, or the response is lost. */
inline receiveAnswer(f)
{
	if
	:: reportKnown[sender[f]] = true;
		reportedGroup[sender[f]] = currentGroup;
		reportedCount[sender[f]] = orderCount
	:: true
	fi
}

inline execute(f)
{
	atomic {
		operation[f] != NONE && COUNT_MATCHES(f) ->
		if
		:: operation[f] == JOIN ->
			assert(currentGroup == NONE || !isOpen[currentGroup]);
			currentGroup = orderGroup[f];
			orderCount++;
			receiveAnswer(f)
		:: operation[f] == LEAVE && currentGroup == orderGroup[f] ->
			currentGroup = NONE;
			orderCount++;
			receiveAnswer(f)
		:: else
		fi;
		clearOrder(f)
	}
}

inline drop(f)
{
	atomic { operation[f] != NONE -> clearOrder(f) }
}

inline open(g)
{
	atomic {
		groupsCreated >= g && !ended[g] && MAY_OPEN(g) ->
		isOpen[g] = true;
		assert(readyIn[g])
	}
}

inline endGroup(g)
{
	atomic { groupsCreated >= g -> isOpen[g] = false; ended[g] = true }
}

active proctype model()
{
	do
	:: receiveReport(0)
	:: receiveReport(1)
#ifdef NO_CONSISTENT_REPORT
	:: mixReports(0)
	:: mixReports(1)
#endif
	:: join(0, 0)
	:: join(0, 1)
	:: join(1, 0)
	:: join(1, 1)
	:: leave(0, 0)
	:: leave(0, 1)
	:: leave(1, 0)
	:: leave(1, 1)
#ifdef CHECK_AT_ARRIVAL
	:: arrive(0)
	:: arrive(1)
#endif
	:: execute(0)
	:: execute(1)
	:: drop(0)
	:: drop(1)
	:: atomic { currentGroup != NONE -> readyIn[currentGroup] = true }
	:: open(1)
	:: open(2)
	:: open(3)
	:: endGroup(1)
	:: endGroup(2)
	:: endGroup(3)
	od
}
