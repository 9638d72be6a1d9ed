/*
 * Epochs of orders to join: one worker, and two keepers that may act at once. Workers
 * compare the count in an order when it arrives, and its epoch when they execute it, at
 * any later time. A keeper takes a grant from the store, whose numbers only grow, and its
 * epochs derive from that. It may be replaced at any time, which leaves its orders in
 * transit.
 *
 * Invariants: an order of an earlier grant never has a higher epoch than one of a later
 * grant, and the worker never joins a group while the head of its group is open.
 *
 * Each switch disables one guard:
 *   NO_GRANT    a keeper begins above the epoch that the worker reports
 *   NO_CONFIRM  a group is opened although the keeper's grant may not be the newest
 *   NO_OWN      a keeper opens groups of earlier grants
 *   NO_ORDERED  a keeper opens a group after it sent the worker a higher epoch
 *
 * Transitions and their Go functions:
 *   begin          keeper.Keeper.requestGrant, hasTerm
 *   join, leave    formation.Decide, keeper.Keeper.sendOrders
 *   confirm        keeper.Keeper.confirmGrant
 *   open           formation.decider.mayOpen, keeper.Keeper.sendOrders
 *   arrive, execute  the worker
 *
 * The store answers. Keepers that it doesn't answer are not in this model.
 */

#define MAX_GROUPS 3
#define MAX_GRANTS 3
#define MAX_IN_TRANSIT 2
#define MAX_ORDERS 4
#define EPOCHS 4  /* of a grant */

#define NONE 0
#define JOIN 1
#define LEAVE 2

/* The worker. */
byte currentGroup, orderCount, seenEpoch;

/* Groups and their heads. */
byte groupsCreated;
byte groupEpoch[MAX_GROUPS + 1];
bool isOpen[MAX_GROUPS + 1], ended[MAX_GROUPS + 1];

/* The store. */
byte newestGrant;

/* The keepers. */
byte grant[2], epoch[2], orderedEpoch[2];
byte confirmedGroup[2];  /* the keeper's grant was the newest after it saw the worker in this group */
bool reportKnown[2];
byte reportedGroup[2], reportedCount[2];

/* Orders in transit. */
byte ordersSent;
byte operation[MAX_IN_TRANSIT], orderGroup[MAX_IN_TRANSIT], expectedCount[MAX_IN_TRANSIT];
bool matchedAtArrival[MAX_IN_TRANSIT];

/* The highest and the lowest epoch sent with a grant; 0 for none. */
byte highest[MAX_GRANTS + 1], lowest[MAX_GRANTS + 1];

#ifdef NO_CONFIRM
#define IS_CONFIRMED(k, g) true
#else
#define IS_CONFIRMED(k, g) (confirmedGroup[k] == g)
#endif
#ifdef NO_OWN
#define IS_OWN(k, g) true
#else
#define IS_OWN(k, g) (groupEpoch[g] > grant[k] * EPOCHS)
#endif
#ifdef NO_ORDERED
#define IS_NEWEST_ORDER(k, g) true
#else
#define IS_NEWEST_ORDER(k, g) (orderedEpoch[k] <= groupEpoch[g])
#endif

inline clearReport(k)
{
	reportKnown[k] = false;
	reportedGroup[k] = 0;
	reportedCount[k] = 0
}

inline begin(k)
{
	atomic {
		newestGrant < MAX_GRANTS ->
		newestGrant++;
		grant[k] = newestGrant;
#ifdef NO_GRANT
		epoch[k] = groupEpoch[currentGroup];
#else
		epoch[k] = newestGrant * EPOCHS;
#endif
		orderedEpoch[k] = 0;
		confirmedGroup[k] = 0;
		clearReport(k)
	}
}

inline receiveReport(k)
{
	atomic {
		grant[k] > 0 ->
		reportKnown[k] = true;
		reportedGroup[k] = currentGroup;
		reportedCount[k] = orderCount
	}
}

inline assertOrder(k)
{
	assert(grant[k] <= 1 || epoch[k] > highest[1]);
	assert(grant[k] <= 2 || epoch[k] > highest[2]);
	assert(grant[k] >= 2 || lowest[2] == 0 || epoch[k] < lowest[2]);
	assert(grant[k] >= 3 || lowest[3] == 0 || epoch[k] < lowest[3])
}

inline send(f, k, w, g)
{
	ordersSent++;
	operation[f] = w;
	orderGroup[f] = g;
	expectedCount[f] = reportedCount[k];
	clearReport(k)
}

inline join(f, k)
{
	atomic {
		operation[f] == NONE && reportKnown[k] && reportedGroup[k] == NONE && groupsCreated < MAX_GROUPS && ordersSent < MAX_ORDERS ->
		groupsCreated++;
		epoch[k]++;
		assertOrder(k);
		highest[grant[k]] = epoch[k];
		lowest[grant[k]] = (lowest[grant[k]] == 0 -> epoch[k] : lowest[grant[k]]);
		groupEpoch[groupsCreated] = epoch[k];
		orderedEpoch[k] = epoch[k];
		send(f, k, JOIN, groupsCreated)
	}
}

inline leave(f, k)
{
	atomic {
		operation[f] == NONE && reportKnown[k] && reportedGroup[k] != NONE && ordersSent < MAX_ORDERS ->
		send(f, k, LEAVE, reportedGroup[k])
	}
}

inline arrive(f)
{
	atomic { operation[f] != NONE && expectedCount[f] == orderCount -> matchedAtArrival[f] = true }
}

inline clearOrder(f)
{
	operation[f] = NONE;
	orderGroup[f] = 0;
	expectedCount[f] = 0;
	matchedAtArrival[f] = false
}

inline execute(f)
{
	atomic {
		operation[f] != NONE && matchedAtArrival[f] ->
		if
		:: operation[f] == JOIN && groupEpoch[orderGroup[f]] >= seenEpoch ->
			assert(currentGroup == NONE || !isOpen[currentGroup]);
			currentGroup = orderGroup[f];
			seenEpoch = groupEpoch[currentGroup];
			orderCount++
		:: operation[f] == LEAVE && currentGroup == orderGroup[f] ->
			currentGroup = NONE;
			orderCount++
		:: else
		fi;
		clearOrder(f)
	}
}

inline drop(f)
{
	atomic { operation[f] != NONE -> clearOrder(f) }
}

inline confirm(k)
{
	atomic { reportKnown[k] && reportedGroup[k] != NONE && grant[k] == newestGrant -> confirmedGroup[k] = reportedGroup[k] }
}

inline open(k)
{
	atomic {
		reportKnown[k] && reportedGroup[k] != NONE && !ended[reportedGroup[k]] && IS_CONFIRMED(k, reportedGroup[k]) &&
		IS_OWN(k, reportedGroup[k]) && IS_NEWEST_ORDER(k, reportedGroup[k]) ->
		isOpen[reportedGroup[k]] = true
	}
}

inline endGroup(g)
{
	atomic { groupsCreated >= g -> isOpen[g] = false; ended[g] = true }
}

active proctype model()
{
	do
	:: begin(0)
	:: begin(1)
	:: receiveReport(0)
	:: receiveReport(1)
	:: join(0, 0)
	:: join(0, 1)
	:: join(1, 0)
	:: join(1, 1)
	:: leave(0, 0)
	:: leave(0, 1)
	:: leave(1, 0)
	:: leave(1, 1)
	:: arrive(0)
	:: arrive(1)
	:: execute(0)
	:: execute(1)
	:: drop(0)
	:: drop(1)
	:: confirm(0)
	:: confirm(1)
	:: open(0)
	:: open(1)
	:: endGroup(1)
	:: endGroup(2)
	:: endGroup(3)
	od
}
