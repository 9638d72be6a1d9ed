/*
 * Placement stream: one backend server that applies every order, two groups that want
 * it as a member, and two entry instances that compete for it, may pause anywhere, end
 * and restart. Orders are delivered late, and the responses to them may get lost.
 *
 * Each switch disables one guard:
 *   NO_SINGLE_GROUP       a member of one group joins the other group
 *   NO_SINGLE_CLAIM       a claimed order is claimed again
 *   NO_CLAIM_CHECK        a server with an open claim gets a new epoch
 *   NO_QUARANTINE_CHECK   a server in quarantine gets a new epoch
 *   NO_UNKNOWN_OUTCOME    an order with unknown outcome starts no quarantine
 *   NO_MEMBER_CHECK       the claim of a process that is still a member is taken over
 *   NO_SINGLE_ORDER       a confirmed order is claimed again for the same epoch
 *   NO_OBSERVATION_CHECK  an observation from before the quarantine ends it
 *   NO_SINGLE_SEND        a process sends a claimed order again
 *
 * Transitions and their Go functions:
 *   assign, dissolve              placement.State.groupAssign, groupDissolve
 *   claim, release                placement.State.orderClaim, orderRelease
 *   takeover                      placement.State.orderTakeover
 *   setQuarantine, liftQuarantine placement.State.setQuarantine, unquarantine
 *   join, removeMember            placement.State.entryJoin, entryGone
 *   sendOrder, orderTimeout       group.Issuer.Issue
 *   observe                       group.Report with Observed
 *
 * Here the decision on a record takes effect at once. The state machine tests in
 * pkg/placement and pkg/group let records arrive late.
 */

#define EPOCHS 2
#if defined(NO_SINGLE_CLAIM) || defined(NO_SINGLE_SEND) /* smaller bounds are enough to violate these */
#define BOOTS 1
#define RUNS 1
#else
#define BOOTS 2
#define RUNS 2
#endif
#define MAX_IN_TRANSIT 2

#define NONE 0
#define APPLIED 1
#define NOTSENT 2
#define UNKNOWN 3

/* The state of the placement. */
bool inGroup[2];
byte epoch;
byte confirmedEpoch;  /* epoch whose order was confirmed, 0 for none */
byte claimant, claimantRun, claimEpoch;  /* claimant is the process plus 1, 0 for none */
bool quarantined;
byte quarantineEpoch, quarantineBoot;
byte memberRun[2];  /* run of each process that is a member, 0 for none */

/* Processes. */
bool alive[2];
byte currentRun[2];
byte orderToSend[2];  /* epoch of the order to send, 0 for none */
byte orderSent[2];    /* epoch of the order that awaits a response, 0 for none */
byte outcome[2];

/* The server and the orders in transit. */
byte boot = 1;
byte appliedEpoch;
byte inTransit[MAX_IN_TRANSIT], transitBoot[MAX_IN_TRANSIT], transitRun[MAX_IN_TRANSIT], transitSender[MAX_IN_TRANSIT];

/* The newest observation of the server. */
byte observedBoot, observedEpoch;
bool observedSince;  /* made after the quarantine last changed */

#define MEMBER(p) (alive[p] && memberRun[p] == currentRun[p])
#define GROUPED (inGroup[0] || inGroup[1])

/* Guards. A switch makes its guard ineffective. */
#ifdef NO_SINGLE_GROUP
#define FREE_FOR(g) true
#else
#define FREE_FOR(g) (!inGroup[1 - g])
#endif
#ifdef NO_SINGLE_CLAIM
#define MAY_CLAIM true
#else
#define MAY_CLAIM (claimant == 0)
#endif
#ifdef NO_CLAIM_CHECK
#define MAY_REASSIGN true
#else
#define MAY_REASSIGN (claimant == 0)
#endif
#ifdef NO_QUARANTINE_CHECK
#define NOT_QUARANTINED true
#else
#define NOT_QUARANTINED (!quarantined)
#endif
#ifdef NO_MEMBER_CHECK
#define CLAIMANT_GONE true
#else
#define CLAIMANT_GONE (memberRun[claimant - 1] != claimantRun)
#endif
#ifdef NO_SINGLE_ORDER
#define NOT_CONFIRMED true
#else
#define NOT_CONFIRMED (confirmedEpoch != epoch)
#endif
#ifdef NO_OBSERVATION_CHECK
#define OBSERVED_SINCE true
#else
#define OBSERVED_SINCE observedSince
#endif
#ifdef NO_SINGLE_SEND
#define MAY_RESEND true
#else
#define MAY_RESEND false
#endif
#ifdef NO_UNKNOWN_OUTCOME
#define QUARANTINES_UNKNOWN false
#else
#define QUARANTINES_UNKNOWN true
#endif

inline startQuarantine()
{
	quarantined = true;
	quarantineEpoch = claimEpoch;
	quarantineBoot = 0;
	observedSince = false
}

inline endClaim()
{
	claimant = 0;
	claimantRun = 0;
	claimEpoch = 0
}

inline clearOrder(p)
{
	orderToSend[p] = 0;
	orderSent[p] = 0;
	outcome[p] = NONE
}

inline assign(g)
{
	atomic {
		epoch < EPOCHS && FREE_FOR(g) && MAY_REASSIGN && NOT_QUARANTINED ->
		inGroup[g] = true;
		epoch++;
		confirmedEpoch = 0;
		assert(!(inGroup[0] && inGroup[1]))
	}
}

inline claim(p)
{
	atomic {
		MEMBER(p) && GROUPED && orderToSend[p] == 0 && orderSent[p] == 0 && outcome[p] == NONE && !quarantined && MAY_CLAIM && NOT_CONFIRMED ->
		claimant = p + 1;
		claimantRun = currentRun[p];
		claimEpoch = epoch;
		orderToSend[p] = epoch
	}
}

inline sendOrder(p, f)
{
	atomic {
		alive[p] && orderToSend[p] != 0 && inTransit[f] == 0 && (f == 0 || inTransit[0] != 0) ->
		inTransit[f] = orderToSend[p];
		transitBoot[f] = boot;
		transitRun[f] = currentRun[p];
		transitSender[f] = p;
		orderSent[p] = orderToSend[p];
		if
		:: orderToSend[p] = 0
		:: MAY_RESEND
		fi
	}
}

inline failToSend(p)
{
	atomic { alive[p] && orderToSend[p] != 0 && orderSent[p] == 0 -> orderToSend[p] = 0; outcome[p] = NOTSENT }
}

/* The server applies an order that was sent to its current boot. While it is in a group,
 * it must not apply an order of an older epoch. */
inline deliver(f)
{
	atomic {
		inTransit[f] != 0 ->
		if
		:: transitBoot[f] == boot ->
			assert(!GROUPED || inTransit[f] == epoch);
			appliedEpoch = inTransit[f];
			if
			:: orderSent[transitSender[f]] == inTransit[f] && transitRun[f] == currentRun[transitSender[f]] && alive[transitSender[f]] ->
				orderSent[transitSender[f]] = 0;
				outcome[transitSender[f]] = APPLIED
			:: skip
			fi
		:: else
		fi;
		inTransit[f] = 0;
		transitBoot[f] = 0;
		transitRun[f] = 0;
		transitSender[f] = 0
	}
}

inline orderTimeout(p)
{
	atomic { alive[p] && orderSent[p] != 0 -> orderSent[p] = 0; outcome[p] = UNKNOWN }
}

inline release(p)
{
	atomic {
		alive[p] && outcome[p] != NONE ->
		if
		:: claimant == p + 1 && claimantRun == currentRun[p] ->
			if
			:: outcome[p] == APPLIED && claimEpoch == epoch -> confirmedEpoch = epoch
			:: outcome[p] == UNKNOWN && QUARANTINES_UNKNOWN -> startQuarantine()
			:: else
			fi;
			endClaim()
		:: else
		fi;
		outcome[p] = NONE
	}
}

inline takeover()
{
	atomic {
		claimant != 0 && CLAIMANT_GONE ->
		startQuarantine();
		endClaim()
	}
}

inline endProcess(p)
{
	atomic { alive[p] -> alive[p] = false; clearOrder(p) }
}

inline join(p)
{
	atomic { !alive[p] && currentRun[p] < RUNS -> currentRun[p]++; alive[p] = true; memberRun[p] = currentRun[p] }
}

inline removeMember(p)
{
	atomic { !alive[p] && memberRun[p] != 0 -> memberRun[p] = 0 }
}

inline restartServer()
{
	atomic { boot < BOOTS -> boot++; appliedEpoch = 0 }
}

inline observe()
{
	atomic { observedBoot = boot; observedEpoch = appliedEpoch; observedSince = true }
}

inline setQuarantine()
{
	atomic {
		quarantined && quarantineBoot == 0 && observedBoot != 0 && OBSERVED_SINCE ->
		quarantineBoot = observedBoot;
		observedSince = false
	}
}

inline liftQuarantine()
{
	atomic {
		if
		:: quarantined && observedEpoch == quarantineEpoch && observedEpoch != 0 ->
			quarantined = false;
			if
			:: GROUPED && quarantineEpoch == epoch -> confirmedEpoch = epoch
			:: else
			fi
		:: quarantined && quarantineBoot != 0 && observedBoot != quarantineBoot && OBSERVED_SINCE -> quarantined = false
		fi
	}
}

active proctype model()
{
	join(0);
	join(1);
	do
	:: assign(0)
	:: assign(1)
	:: atomic { inGroup[0] -> inGroup[0] = false }
	:: atomic { inGroup[1] -> inGroup[1] = false }
	:: claim(0)
	:: claim(1)
	:: sendOrder(0, 0)
	:: sendOrder(0, 1)
	:: sendOrder(1, 0)
	:: sendOrder(1, 1)
	:: failToSend(0)
	:: failToSend(1)
	:: deliver(0)
	:: deliver(1)
	:: orderTimeout(0)
	:: orderTimeout(1)
	:: release(0)
	:: release(1)
	:: takeover()
	:: endProcess(0)
	:: endProcess(1)
	:: join(0)
	:: join(1)
	:: removeMember(0)
	:: removeMember(1)
	:: restartServer()
	:: observe()
	:: setQuarantine()
	:: liftQuarantine()
	od
}
