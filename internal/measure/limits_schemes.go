package measure

import (
	"errors"
	"fmt"

	"github.com/chicorystall/chicorystall/pkg/limit"
)

const schemeBackend = "s"

// fullRoundInterval is the number of rounds after which every sender sends a
// statement to every other.
const fullRoundInterval = 10

func ownQueue(s int) int { return s }

// staticShares gives each sender a fixed share of the limit.
func staticShares(r *limitRun, name string, share func(sender int) int) limitScheme {
	used := make([]int, r.senders)
	return limitScheme{
		name:    name,
		queueOf: ownQueue,
		tryAcquire: func(s int) bool {
			if used[s] >= share(s) {
				return false
			}
			used[s]++
			return true
		},
		release: func(s int) { used[s]-- },
	}
}

func staticAtLeastOne(r *limitRun) limitScheme {
	return staticShares(r, "static shares, at least 1", func(int) int { return max(r.limit/r.senders, 1) })
}

func staticExact(r *limitRun) limitScheme {
	return staticShares(r, "static shares, exact", func(s int) int { return (r.limit + r.senders - 1 - s) / r.senders })
}

// oneDispatcher sends all requests through one sender.
func oneDispatcher(r *limitRun) limitScheme {
	used := 0
	return limitScheme{
		name:    "one dispatcher",
		queueOf: func(int) int { return 0 },
		tryAcquire: func(int) bool {
			if used >= r.limit {
				return false
			}
			used++
			return true
		},
		release: func(int) { used-- },
	}
}

// loanScheme runs the senders' ledgers over the simulated network.
type loanScheme struct {
	run       *limitRun
	ledgers   []*limit.Ledger
	permits   [][]limit.Permit
	rounds    int
	openLoans []int // open loan requests of each sender
}

func sharesWithLoans(r *limitRun) limitScheme {
	l := &loanScheme{run: r, permits: make([][]limit.Permit, r.senders), openLoans: make([]int, r.senders)}
	table := limit.Table{Epoch: 1}
	for i := range r.senders {
		table.Members = append(table.Members, limit.Member{Name: fmt.Sprint("e", i), Boot: "1"})
	}
	limits := limit.Limits{Version: 1, Backends: map[string]limit.Limit{
		schemeBackend: {InFlight: r.limit, Tokens: r.limit, ColdInFlight: r.limit},
	}}
	for _, m := range table.Members {
		ledger := &limit.Ledger{Self: m}
		ledger.Observe(schemeBackend, "1")
		ledger.SetLimits(limits)
		ledger.SetTable(table)
		l.ledgers = append(l.ledgers, ledger)
	}
	l.exchange()
	r.clock.every(statementInterval, func() bool { l.round(); return r.clock.now < schemeDuration })
	first := table.Order(schemeBackend)[0]
	return limitScheme{
		name:         "shares with loans",
		queueOf:      ownQueue,
		tryAcquire:   l.acquire,
		release:      l.release,
		queueEmptied: func(s int) { l.dispatch(s, l.ledgers[s].LeaveQueue(schemeBackend)) },
		largest:      l.index(first),
	}
}

// exchange reconciles all ledgers before the run.
func (l *loanScheme) exchange() {
	for _, from := range l.ledgers {
		for _, to := range l.ledgers {
			if from != to {
				to.Reconcile(from.Statement(to.Self))
			}
		}
	}
}

func (l *loanScheme) index(m limit.Member) int {
	for i, ledger := range l.ledgers {
		if ledger.Self == m {
			return i
		}
	}
	return -1
}

// round sends statements to the senders for which one is due, and to all in every
// fullRoundInterval rounds.
func (l *loanScheme) round() {
	l.rounds++
	for i, from := range l.ledgers {
		if l.run.frozen[i] {
			continue
		}
		l.dispatch(i, from.Tick())
		for j, to := range l.ledgers {
			if i == j || !from.StatementDue(to.Self) && l.rounds%fullRoundInterval != 0 {
				continue
			}
			s := from.Statement(to.Self)
			l.run.statements++
			l.run.send(i, j, func() { l.dispatch(j, to.Reconcile(s)) })
		}
		l.run.serve(i)
	}
}

func (l *loanScheme) dispatch(from int, out limit.Outbox) {
	for _, r := range out.Returns {
		to := l.index(r.Lender)
		l.run.messages++
		l.run.send(from, to, func() {
			l.dispatch(to, l.ledgers[to].TakeBack(r))
			l.run.serve(to)
		})
	}
	for _, reply := range out.Replies {
		l.reply(from, reply)
	}
}

func (l *loanScheme) reply(from int, reply limit.LoanReply) {
	to := l.index(reply.ID.Borrower)
	l.run.messages++
	l.run.send(from, to, func() { l.accept(to, reply) })
}

func (l *loanScheme) acquire(s int) bool {
	permit, err := l.ledgers[s].Acquire(schemeBackend, 1)
	if err == nil {
		l.permits[s] = append(l.permits[s], permit)
		return true
	}
	var refusal *limit.Refusal
	if errors.As(err, &refusal) && len(refusal.Lenders) > 0 && l.openLoans[s] < len(l.run.queues[s]) {
		l.requestLoan(s, refusal, 0)
	}
	return false
}

// requestLoan asks the lenders for a loan in turn and queues at the last one.
func (l *loanScheme) requestLoan(s int, refusal *limit.Refusal, at int) {
	lender := refusal.Lenders[at%len(refusal.Lenders)]
	last := at >= len(refusal.Lenders)-1
	request := l.ledgers[s].Borrow(schemeBackend, lender, limit.Amount{Requests: 1, Tokens: 1}, last)
	l.openLoans[s]++
	l.run.messages++
	to := l.index(lender)
	l.run.send(s, to, func() {
		reply := l.ledgers[to].Lend(request)
		l.run.messages++
		l.run.send(to, s, func() {
			if reply.Waiting {
				return
			}
			retry := !last && reply.Granted.IsZero() && l.ledgers[s].AwaitsReply(reply.ID)
			l.accept(s, reply)
			if retry && l.openLoans[s] < len(l.run.queues[s]) {
				l.requestLoan(s, refusal, at+1)
			}
		})
	})
	if !last || len(refusal.Lenders) > 1 {
		l.run.clock.after(loanTimeout, func() { l.run.runUnlessFrozen(s, func() { l.cancelLoan(s, request.ID) }) })
	}
}

func (l *loanScheme) cancelLoan(s int, id limit.LoanID) {
	if !l.ledgers[s].AwaitsReply(id) {
		return
	}
	l.openLoans[s]--
	l.dispatch(s, l.ledgers[s].CancelLoan(id))
	l.run.serve(s)
}

func (l *loanScheme) accept(s int, reply limit.LoanReply) {
	if l.ledgers[s].AwaitsReply(reply.ID) {
		l.openLoans[s]--
	}
	ok, out := l.ledgers[s].Accept(reply)
	l.dispatch(s, out)
	if ok {
		l.run.serve(s)
		l.dispatch(s, l.ledgers[s].CancelLoan(reply.ID))
	}
}

func (l *loanScheme) release(s int) {
	permit := l.permits[s][0]
	l.permits[s] = l.permits[s][1:]
	l.dispatch(s, l.ledgers[s].Release(permit, true))
}
