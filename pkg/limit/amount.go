package limit

// Amount is an amount of work at a backend server.
type Amount struct {
	Requests int
	Tokens   int // estimated KV cache tokens of prompt and output
}

// IsZero reports whether both fields are 0.
func (a Amount) IsZero() bool { return a == Amount{} }

// Plus returns the sum of a and b.
func (a Amount) Plus(b Amount) Amount {
	return Amount{Requests: a.Requests + b.Requests, Tokens: a.Tokens + b.Tokens}
}

// Minus returns a minus b; its fields can be negative.
func (a Amount) Minus(b Amount) Amount {
	return Amount{Requests: a.Requests - b.Requests, Tokens: a.Tokens - b.Tokens}
}

// Min returns the smaller value of each field.
func (a Amount) Min(b Amount) Amount {
	return Amount{Requests: min(a.Requests, b.Requests), Tokens: min(a.Tokens, b.Tokens)}
}

// Positive returns the amount with negative fields set to 0.
func (a Amount) Positive() Amount {
	return Amount{Requests: max(a.Requests, 0), Tokens: max(a.Tokens, 0)}
}

// FitsIn reports whether each field of a is at most that of b.
func (a Amount) FitsIn(b Amount) bool {
	return a.Requests <= b.Requests && a.Tokens <= b.Tokens
}

// Limit bounds the work that a backend server is sent at one time.
type Limit struct {
	InFlight     int // requests at one time when warm
	Tokens       int // KV cache tokens
	ColdInFlight int // requests at one time during a cold start; 0 counts as 1
}

func (l Limit) cold() int {
	return min(max(l.ColdInFlight, 1), l.InFlight)
}

// blockTokens returns the tokens that are assigned together with a block of requests.
func (l Limit) blockTokens(block int) int {
	return max(l.Tokens*block/max(l.InFlight, 1), 1)
}

// Limits holds the configured limits of all backend servers of a data centre.
type Limits struct {
	Version  int64 // offset of the configuration record; it only increases
	Backends map[string]Limit
}

// Version identifies a table together with the limits that it splits.
type Version struct {
	Epoch  int64
	Limits int64
}

// isOlder reports whether the epoch or the limits of v are older than those of w.
func (v Version) isOlder(w Version) bool {
	return v.Epoch < w.Epoch || v.Limits < w.Limits
}
