package claim

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// DefaultShards is the default number of claim streams. Each stream takes one append at a
// time, so more streams mean smaller batches.
const DefaultShards = 2

const (
	keyTextBytes = 36 // canonical form with hyphens
	keyVersion   = 7
)

// Key identifies one non-idempotent request of a client account to a service.
type Key struct {
	ClientAccount string
	Service       string
	ID            uuid.UUID // a UUID of version 7, which contains the time of the key
}

// NewKey returns the key with the ID that the caller sent as text.
func NewKey(clientAccount, service, text string) (Key, error) {
	id, err := ParseKey(text)
	if err != nil {
		return Key{}, err
	}
	return Key{ClientAccount: clientAccount, Service: service, ID: id}, nil
}

// ParseKey parses a UUID of version 7 in its canonical form (RFC 9562).
func ParseKey(text string) (uuid.UUID, error) {
	if len(text) != keyTextBytes {
		return uuid.UUID{}, fmt.Errorf("key has %d bytes, a canonical UUID has %d", len(text), keyTextBytes)
	}
	id, err := uuid.Parse(text)
	if err != nil {
		return uuid.UUID{}, fmt.Errorf("key %q is not a UUID: %w", text, err)
	}
	if id.Variant() != uuid.RFC4122 {
		return uuid.UUID{}, fmt.Errorf("key %q has variant %v, want %v", text, id.Variant(), uuid.RFC4122)
	}
	if id.Version() != keyVersion {
		return uuid.UUID{}, fmt.Errorf("key %q has version %d, want %d", text, id.Version(), keyVersion)
	}
	return id, nil
}

// Time returns the time in the key's ID, to the millisecond. It is from the clock of the
// caller.
func (k Key) Time() time.Time {
	var b [8]byte
	copy(b[2:], k.ID[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(b[:])))
}

// Shard returns the number of the claim stream that holds the key.
func (k Key) Shard(shards int) int {
	h := xxhash.New()
	for _, s := range []string{k.ClientAccount, k.Service} {
		h.WriteString(strconv.Itoa(len(s)) + ":" + s)
	}
	h.Write(k.ID[:])
	return int(h.Sum64() % uint64(shards))
}

// String returns the key in the form in which log messages and errors show it.
func (k Key) String() string {
	return k.ClientAccount + "/" + k.Service + "/" + k.ID.String()
}

// Stream returns the name of the claim stream of a shard.
func Stream(shard int) string {
	return "claims-" + strconv.Itoa(shard)
}
