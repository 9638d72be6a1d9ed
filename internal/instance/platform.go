package instance

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/gateway"
	"github.com/chicorystall/chicorystall/internal/keeper"
	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/formation"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

// Platform is how an adapter lets an instance speak with its platform. All
// fields must be set.
type Platform struct {
	Dialect gateway.Dialect

	OperatorFeed Feed // what operators write
	ServerFeed   Feed // entries of backend servers, by their IDs

	// DecodeOperatorRecord decodes a record of the operator. An error names what can't be read.
	DecodeOperatorRecord func(Record) (OperatorRecord, error)
	// DecodeServer decodes the entry of a backend server; an error marks one that names none.
	DecodeServer func(id string, data []byte, read time.Time) (roster.Server, error)

	// RegisterAddress makes an instance's address known, Announced returns what was announced.
	RegisterAddress     func(ctx context.Context, name, address string) error
	RegisteredAddresses func(ctx context.Context) ([]Record, error)

	// Report asks a backend server for its report, Order sends it an order that
	// holds only if it has begun as many orders as count says.
	Report func(ctx context.Context, known roster.Server) (roster.Server, error)
	Order  func(ctx context.Context, to roster.Server, o formation.Order, count int64) (keeper.Outcome, error)
}

// Feed is a stream of records, of which the newest of each key are kept for good.
type Feed struct {
	Name string // for logs
	// Newest returns the newest record of each key, and an offset from which
	// reading on misses nothing.
	Newest func(ctx context.Context) (records []Record, next int64, err error)
	// Read returns the records from an offset on, after a wait for the first if
	// need be. whole is false when more are there already. The error is
	// ErrTrimmed when some of them have been deleted.
	Read func(ctx context.Context, from int64, wait time.Duration) (records []Record, next int64, whole bool, err error)
}

// Record is a record of a feed. Without a value its key is removed.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// ErrTrimmed reports that records which were asked for have been deleted.
var ErrTrimmed = errors.New("records were deleted from the store")

// OperatorRecord is a record of the operator, decoded: a configuration, or a data centre
// that is taken out or taken back. The zero value is one that tells nothing here.
type OperatorRecord struct {
	Catalog    *catalog.Catalog
	DataCentre string
	TakenOut   bool
}
