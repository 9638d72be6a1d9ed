package instance

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/gateway"
	"github.com/chicorystall/chicorystall/internal/keeper"
	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/formation"
	"github.com/chicorystall/chicorystall/pkg/position"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

// Platform gives an instance access to its platform. An adapter provides it. All
// fields must be set.
type Platform struct {
	Dialect gateway.Dialect

	OperatorFeed Feed // records that operators write
	ServerFeed   Feed // entries of backend servers, keyed by server ID

	// DecodeOperatorRecord decodes an operator's record. The error says what can't be decoded.
	DecodeOperatorRecord func(Record) (OperatorRecord, error)
	// DecodeServer decodes the entry of a backend server that was read at a time. It
	// returns an error if the entry describes no server.
	DecodeServer func(id string, data []byte, read time.Time) (roster.Server, error)

	// RegisterAddress registers an instance's address in the store.
	RegisterAddress func(ctx context.Context, name, address string) error
	// RegisteredAddresses returns the registered addresses, keyed by instance name.
	RegisteredAddresses func(ctx context.Context) ([]Record, error)

	// Grant takes a number from the store for an instance of a data centre, above all
	// numbers that the data centre's instances took before.
	Grant func(ctx context.Context, dataCentre, instance string) (int64, error)
	// NewestGrant returns the number that was last taken for a data centre.
	NewestGrant func(ctx context.Context, dataCentre string) (int64, error)

	// Connect opens a connection to a backend server.
	Connect func(ctx context.Context, to roster.Server) error
	// Report asks a backend server for its report.
	Report func(ctx context.Context, known roster.Server) (roster.Server, error)
	// Order sends a backend server an order, which it carries out only if it has begun
	// exactly count orders so far.
	Order func(ctx context.Context, to roster.Server, o formation.Order, count int64) (keeper.Outcome, error)
}

// Feed is a topic of the store, which keeps at least the newest record of each key.
type Feed struct {
	Name string // for logs
	// Newest returns the newest record of each key, and the position at which Read
	// continues without missing a record.
	Newest func(ctx context.Context) (records []Record, next position.Position, err error)
	// Read returns the records from a position on. If there is none yet, it waits
	// for the first. caughtUp is false if the store already has further records. The
	// error is ErrTrimmed if some of the records have been deleted, or the store was
	// restored from a copy since the position was read.
	Read func(ctx context.Context, from position.Position, wait time.Duration) (records []Record, next position.Position, caughtUp bool, err error)
}

// Record is a record of a feed. A record without a value removes its key. Its position is
// in the era of the store in which it was read.
type Record struct {
	Key    string
	Value  []byte
	Offset position.Position
}

// ErrTrimmed reports that requested records have been deleted.
var ErrTrimmed = errors.New("records were deleted from the store")

// OperatorRecord is a decoded operator's record: a configuration, or a data centre that
// is taken out of service or put back. The zero value is a record that does not
// concern this package.
type OperatorRecord struct {
	Catalog    *catalog.Catalog
	DataCentre string
	TakenOut   bool
}
