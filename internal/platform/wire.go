package platform

import (
	"time"

	"github.com/chicorystall/chicorystall/pkg/journal"
)

//go:generate go tool stringer -type=InstanceState,InstanceKind -output=wire_string.go

// InstanceState is what the platform says about an instance.
type InstanceState int

// States of an instance.
const (
	Live    InstanceState = iota
	Leaving               // still runs; gets no new work
	Gone                  // will never run again under this boot ID
)

// InstanceKind tells entry instances from backend servers.
type InstanceKind int

// Kinds of instances.
const (
	Entry InstanceKind = iota
	Backend
)

// Instance is one row of the platform's lagging list.
type Instance struct {
	Name         string
	Kind         InstanceKind
	Address      string // IP:port
	DataCentre   string
	FabricDomain string
	State        InstanceState
	BootID       string
}

// Registration is the body of PUT /instances/NAME. The stand-in of the platform
// takes an instance for gone when its operating system process is gone, so
// neither a pause nor a cut makes it say so.
type Registration struct {
	Instance
	PID int // 0 when only a registration with the state Gone ends the instance
}

// InstanceList is the answer of GET /instances.
type InstanceList struct {
	AsOf      time.Time // the platform's clock when the list was true
	Instances []Instance
}

// AppendAnswer is the answer of POST /log/STREAM.
type AppendAnswer struct {
	Offset journal.Offset
}

// PageAnswer is the answer of GET /log/STREAM. With status 410 it has no
// entries and tells where the stream begins.
type PageAnswer struct {
	Entries []journal.Entry
	First   journal.Offset
	Next    journal.Offset
}
