/*
 * Placement stream: one backend server that obeys every order, two groups that
 * want it, and two entry instances that race, pause anywhere, end and restart.
 * Orders travel, and their answers get lost.
 *
 * Switches, each of which removes one guard:
 *   NO_UNIQUE      a member of one group joins the other
 *   NO_SOLE        a claimed order is claimed again
 *   NO_APART       a server with an open claim gets a new epoch
 *   NO_QUARANTINE  a server in quarantine gets a new epoch
 *   NO_UNKNOWN     an unknown outcome begins no quarantine
 *   NO_TAKEOVER    the claim of a process that takes part is taken over
 *   NO_ONEORDER    a confirmed order is claimed again for the same epoch
 *   NO_OBSERVED    an observation from before the quarantine ends it
 *   NO_ONCE        a process sends a claimed order again
 *
 * Transitions and their Go functions:
 *   assign, dissolve      placement.State.groupAssign, groupDissolve
 *   claim, release        placement.State.orderClaim, orderRelease
 *   takeover              placement.State.orderTakeover
 *   setQuarantine, lift   placement.State.setQuarantine, unquarantine
 *   join, gone            placement.State.entryJoin, entryGone
 *   send, timeout         group.Issuer.Issue
 *   look                  group.Report with Observed
 *
 * A record that is decided on takes effect at once here; the machines in
 * pkg/placement and pkg/group let it arrive late.
 */

#define EPOCHS 2
#if defined(NO_SOLE) || defined(NO_ONCE) /* a smaller world shows these sooner */
#define BOOTS 1
#define RUNS 1
#else
#define BOOTS 2
#define RUNS 2
#endif
#define FLIGHTS 2

#define NONE 0
#define APPLIED 1
#define NOTSENT 2
#define UNKNOWN 3

/* The state machine's state. */
bool in[2];
byte epoch;
byte ordered;                 /* epoch whose order was confirmed */
byte claimBy, claimRun, claimEpoch;
bool quarantine;
byte qEpoch, qBoot;
byte member[2];               /* run of each process that takes part, 0 for none */

/* Processes. */
bool alive[2];
byte life[2];
byte todo[2];                 /* epoch of the order to send */
byte waiting[2];              /* epoch of the order that was sent */
byte outcome[2];

/* The server and the orders on their way. */
byte boot = 1;
byte obeyed;
byte flight[FLIGHTS], flightBoot[FLIGHTS], flightRun[FLIGHTS], flightBy[FLIGHTS];

/* The newest observation of the server. */
byte lookBoot, lookEpoch;
bool lookAfter;               /* made after the quarantine last changed */

#define MEMBER(p) (alive[p] && member[p] == life[p])
#define GROUPED (in[0] || in[1])

/* Guards, each true without its switch. */
#ifdef NO_UNIQUE
#define UNIQUE(g) true
#else
#define UNIQUE(g) (!in[1 - g])
#endif
#ifdef NO_SOLE
#define SOLE true
#else
#define SOLE (claimBy == 0)
#endif
#ifdef NO_APART
#define APART true
#else
#define APART (claimBy == 0)
#endif
#ifdef NO_QUARANTINE
#define QUARANTINE true
#else
#define QUARANTINE (!quarantine)
#endif
#ifdef NO_TAKEOVER
#define TAKEOVER true
#else
#define TAKEOVER (member[claimBy - 1] != claimRun)
#endif
#ifdef NO_ONEORDER
#define ONEORDER true
#else
#define ONEORDER (ordered != epoch)
#endif
#ifdef NO_OBSERVED
#define OBSERVED true
#else
#define OBSERVED lookAfter
#endif
#ifdef NO_ONCE
#define AGAIN true
#else
#define AGAIN false
#endif
#ifdef NO_UNKNOWN
#define HELD false
#else
#define HELD true
#endif

inline startQuarantine()
{
	quarantine = true;
	qEpoch = claimEpoch;
	qBoot = 0;
	lookAfter = false
}

inline endClaim()
{
	claimBy = 0;
	claimRun = 0;
	claimEpoch = 0
}

inline forget(p)
{
	todo[p] = 0;
	waiting[p] = 0;
	outcome[p] = NONE
}

inline assign(g)
{
	atomic {
		epoch < EPOCHS && UNIQUE(g) && APART && QUARANTINE ->
		in[g] = true;
		epoch++;
		ordered = 0;
		assert(!(in[0] && in[1]))
	}
}

inline claim(p)
{
	atomic {
		MEMBER(p) && GROUPED && todo[p] == 0 && waiting[p] == 0 && outcome[p] == NONE && !quarantine && SOLE && ONEORDER ->
		claimBy = p + 1;
		claimRun = life[p];
		claimEpoch = epoch;
		todo[p] = epoch
	}
}

inline put(p, f)
{
	atomic {
		alive[p] && todo[p] != 0 && flight[f] == 0 && (f == 0 || flight[0] != 0) ->
		flight[f] = todo[p];
		flightBoot[f] = boot;
		flightRun[f] = life[p];
		flightBy[f] = p;
		waiting[p] = todo[p];
		if
		:: todo[p] = 0
		:: AGAIN
		fi
	}
}

inline refuse(p)
{
	atomic { alive[p] && todo[p] != 0 && waiting[p] == 0 -> todo[p] = 0; outcome[p] = NOTSENT }
}

/* The server obeys an order that its run took; a member obeys no stale one. */
inline deliver(f)
{
	atomic {
		flight[f] != 0 ->
		if
		:: flightBoot[f] == boot ->
			assert(!GROUPED || flight[f] == epoch);
			obeyed = flight[f];
			if
			:: waiting[flightBy[f]] == flight[f] && flightRun[f] == life[flightBy[f]] && alive[flightBy[f]] ->
				waiting[flightBy[f]] = 0;
				outcome[flightBy[f]] = APPLIED
			:: skip
			fi
		:: else
		fi;
		flight[f] = 0;
		flightBoot[f] = 0;
		flightRun[f] = 0;
		flightBy[f] = 0
	}
}

inline timeout_(p)
{
	atomic { alive[p] && waiting[p] != 0 -> waiting[p] = 0; outcome[p] = UNKNOWN }
}

inline release(p)
{
	atomic {
		alive[p] && outcome[p] != NONE ->
		if
		:: claimBy == p + 1 && claimRun == life[p] ->
			if
			:: outcome[p] == APPLIED && claimEpoch == epoch -> ordered = epoch
			:: outcome[p] == UNKNOWN && HELD -> startQuarantine()
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
		claimBy != 0 && TAKEOVER ->
		startQuarantine();
		endClaim()
	}
}

inline end(p)
{
	atomic { alive[p] -> alive[p] = false; forget(p) }
}

inline join(p)
{
	atomic { !alive[p] && life[p] < RUNS -> life[p]++; alive[p] = true; member[p] = life[p] }
}

inline gone(p)
{
	atomic { !alive[p] && member[p] != 0 -> member[p] = 0 }
}

inline restart()
{
	atomic { boot < BOOTS -> boot++; obeyed = 0 }
}

inline look()
{
	atomic { lookBoot = boot; lookEpoch = obeyed; lookAfter = true }
}

inline setQuarantine()
{
	atomic {
		quarantine && qBoot == 0 && lookBoot != 0 && OBSERVED ->
		qBoot = lookBoot;
		lookAfter = false
	}
}

inline lift()
{
	atomic {
		if
		:: quarantine && lookEpoch == qEpoch && lookEpoch != 0 ->
			quarantine = false;
			if
			:: GROUPED && qEpoch == epoch -> ordered = epoch
			:: else
			fi
		:: quarantine && qBoot != 0 && lookBoot != qBoot && OBSERVED -> quarantine = false
		fi
	}
}

active proctype world()
{
	join(0);
	join(1);
	do
	:: assign(0)
	:: assign(1)
	:: atomic { in[0] -> in[0] = false }
	:: atomic { in[1] -> in[1] = false }
	:: claim(0)
	:: claim(1)
	:: put(0, 0)
	:: put(0, 1)
	:: put(1, 0)
	:: put(1, 1)
	:: refuse(0)
	:: refuse(1)
	:: deliver(0)
	:: deliver(1)
	:: timeout_(0)
	:: timeout_(1)
	:: release(0)
	:: release(1)
	:: takeover()
	:: end(0)
	:: end(1)
	:: join(0)
	:: join(1)
	:: gone(0)
	:: gone(1)
	:: restart()
	:: look()
	:: setQuarantine()
	:: lift()
	od
}
