package member

//go:generate go tool stringer -type=MessageKind

// MessageKind is the type of a message.
type MessageKind int

// Kinds of messages.
const (
	Ping MessageKind = iota // asks for an Ack
	Ack                     // answers a Ping, with the digests of members in differing buckets
	Sync                    // carries the rows that differed, and may ask for others
)

// Digest is a summary of the sender's row of one member.
type Digest struct {
	Name     string
	Checksum uint32 // checksum of the row and the versions of its items
}

// Message is a message from one instance to another.
type Message struct {
	Kind      MessageKind
	From      string
	To        string   // name of the receiver
	Address   string   // IP:port of the receiver, not encoded; empty in an answer to a member whose address is not known
	Checksums []uint32 // of all buckets, in a Ping to a randomly chosen member
	Buckets   []int    // in an Ack, the buckets whose checksums differ
	Digests   []Digest
	Want      []string // names of the members whose rows the sender asks for
	Rows      []Row    // changed rows; in a Ping or Ack, with the changed items only
}
