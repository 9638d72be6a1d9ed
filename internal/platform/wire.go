package platform

import (
	"time"

	"github.com/chicorystall/chicorystall/pkg/journal"
)

//go:generate go tool stringer -type=InstanceState,InstanceKind -output=wire_string.go

// InstanceState is the state of an instance, as the platform lists it.
type InstanceState int

// States of an instance.
const (
	Live    InstanceState = iota
	Leaving               // still runs, but gets no new requests
	Gone                  // has ended, and never runs again with this boot ID
)

// InstanceKind distinguishes entry instances from backend servers.
type InstanceKind int

// Kinds of instances.
const (
	Entry InstanceKind = iota
	Backend
)

// Instance is one row of the platform's list of instances.
type Instance struct {
	Name         string
	Kind         InstanceKind
	Address      string // IP:port
	DataCentre   string
	FabricDomain string
	State        InstanceState
	BootID       string
}

// Registration is the body of PUT /instances/NAME. The stand-in of the platform lists an
// instance as gone when its operating system process has ended. So it doesn't list an
// instance as gone that is only paused or disconnected.
type Registration struct {
	Instance
	PID int // 0 if the instance is gone only when it is registered with the state Gone
}

// InstanceList is the answer of GET /instances.
type InstanceList struct {
	AsOf      time.Time // the time to which the list applies, by the platform's clock
	Instances []Instance
}

// AppendAnswer is the answer of POST /log/STREAM.
type AppendAnswer struct {
	Offset journal.Offset
}

// PageAnswer is the answer of GET /log/STREAM. With status 410, which means that the
// requested offset has expired, it has no entries, and First is where the stream begins.
type PageAnswer struct {
	Entries []journal.Entry
	First   journal.Offset
	Next    journal.Offset
}
