package member

//go:generate go tool stringer -type=MessageKind

// MessageKind says what a message asks of its receiver.
type MessageKind int

// Kinds of messages.
const (
	Ping MessageKind = iota // asks for an Ack
	Ack                     // answers a Ping; names what differs
	Sync                    // carries rows that differed
)

// Digest is the state of one member that the sender knows.
type Digest struct {
	Name string
	Sum  uint32 // checksum of the row and the versions of its items
}

// Message travels between two instances.
type Message struct {
	Kind    MessageKind
	From    string
	To      string // name of the receiver
	Address string // IP:port of the receiver, not encoded; empty for an answer to one whose address is not known
	Sums    []uint32
	Buckets []int // buckets whose sums differ, in an Ack
	Digests []Digest
	Want    []string // members whose rows the sender asks for
	Rows    []Row    // changes; items only those that changed
}
