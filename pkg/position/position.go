package position

import (
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	offsetBits = 40
	eraBits    = 22
)

// MaxOffset and MaxEra are the highest numbers that a Position holds.
const (
	MaxOffset = 1<<offsetBits - 1
	MaxEra    = 1<<eraBits - 1
)

// Position is the place of a record in a log, or the end of what was read of it: the
// offset, and in the upper bits the era that it belongs to. The zero value is the
// beginning of a log.
type Position int64

// At returns the position of an offset in an era. It returns an error if one of them is
// negative or higher than a Position holds.
func At(era, offset int64) (Position, error) {
	if era < 0 || era > MaxEra {
		return 0, errors.Newf("era %d of a log, want 0 to %d", era, int64(MaxEra))
	}
	if offset < 0 || offset > MaxOffset {
		return 0, errors.Newf("offset %d in a log, want 0 to %d", offset, int64(MaxOffset))
	}
	return Position(era<<offsetBits | offset), nil
}

// Era returns the era of a position.
func (p Position) Era() int64 { return int64(p) >> offsetBits }

// Offset returns the offset of a position within its era.
func (p Position) Offset() int64 { return int64(p) & MaxOffset }

// Start returns the position of the first offset of the era of p.
func (p Position) Start() Position { return p &^ MaxOffset }

// String returns the era and the offset, or only the offset in era 0.
func (p Position) String() string {
	if p.Era() == 0 {
		return strconv.FormatInt(p.Offset(), 10)
	}
	return strconv.FormatInt(p.Era(), 10) + "/" + strconv.FormatInt(p.Offset(), 10)
}
