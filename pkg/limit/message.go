package limit

// LoanID identifies a loan. The borrower chooses the number and never reuses it.
type LoanID struct {
	Borrower Member
	Number   int64
}

// LoanRequest asks a lender for a part of its share.
type LoanRequest struct {
	ID      LoanID
	Lender  Member
	Backend string
	Boot    string // boot ID of the backend server that the loan is for
	Amount  Amount
	Wait    bool // queue the request at the lender if it has nothing to lend
}

// LoanReply is the reply to a loan request. A request that waits in the lender's queue
// gets a final reply later.
type LoanReply struct {
	ID      LoanID
	Lender  Member
	Granted Amount  // zero if refused; can be less than requested
	Waiting bool    // the request is queued; another reply follows
	Settled Version // newest version that the lender has settled into
}

// Return gives loans back to the lender.
type Return struct {
	Lender Member
	Loans  []LoanID
}

// Level states how many requests a backend server can take at one time in its current
// boot, as known to the sender.
type Level struct {
	Backend   string
	Boot      string
	ColdEpoch int64 // increases each time the backend server turns cold under this boot ID
	Value     int   // requests; it only increases within a boot ID and a cold epoch
	Completed int64 // requests that the sender saw complete at this value
}

// Statement is the state that one member regularly sends to another. It makes lost
// messages harmless, since the lender takes back loans that the borrower does not list.
type Statement struct {
	From    Member
	To      Member
	Seq     int64 // increases with each statement and loan request of the sender
	Ack     int64 // newest Seq among the receiver's statements that the sender has received
	Version Version
	Settled bool
	Loans   []LoanID // loans from the receiver that the sender holds or has requested
	Levels  []Level  // levels that changed since the statement that the receiver last acknowledged
}

// Outbox holds the messages that the caller must send after a call on a ledger.
type Outbox struct {
	Returns []Return
	Replies []LoanReply // each goes to its ID.Borrower
}

func (o *Outbox) add(other Outbox) {
	o.Returns = append(o.Returns, other.Returns...)
	o.Replies = append(o.Replies, other.Replies...)
}
