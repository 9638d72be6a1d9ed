package limit

// LoanID identifies a loan. The borrower chooses the number and never uses it
// twice.
type LoanID struct {
	Borrower Member
	Number   int64
}

// LoanRequest asks a lender for a part of its share.
type LoanRequest struct {
	ID      LoanID
	Lender  Member
	Backend string
	Boot    string // boot ID of the backend server that the borrower means
	Amount  Amount
	Wait    bool // wait at the lender when it has nothing to lend
}

// LoanReply answers a loan request. A request that waits has its reply later.
type LoanReply struct {
	ID      LoanID
	Lender  Member
	Granted Amount  // zero when refused; it can be less than was asked for
	Waiting bool    // nothing granted yet; another reply follows when it can be
	Settled Version // newest version that the lender has settled into
}

// Return gives loans back to the lender.
type Return struct {
	Lender Member
	Loans  []LoanID
}

// Level is a member's reading of how much a backend server bears since its
// boot.
type Level struct {
	Backend   string
	Boot      string
	ColdEpoch int64 // grows each time the backend server turned cold under this boot ID
	Value     int   // requests; it only grows within a boot ID and a cold epoch
	Completed int64 // requests that the sender saw complete at this value
}

// Statement is what one member regularly tells another one. It makes lost
// messages harmless: the lender takes back what the borrower does not list.
type Statement struct {
	From    Member
	To      Member
	Seq     int64 // grows with each statement and loan request of the sender
	Ack     int64 // newest Seq of a statement that the sender has from the receiver
	Version Version
	Settled bool
	Loans   []LoanID // loans that the sender holds or awaits from the receiver
	Levels  []Level  // readings that changed since the receiver's Ack
}

// Outbox holds messages that a call on a ledger gave rise to.
type Outbox struct {
	Returns []Return
	Replies []LoanReply // each goes to its ID.Borrower
}

func (o *Outbox) add(other Outbox) {
	o.Returns = append(o.Returns, other.Returns...)
	o.Replies = append(o.Replies, other.Replies...)
}
