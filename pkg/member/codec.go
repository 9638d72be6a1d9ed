package member

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// Field numbers of the encoded Message, Digest, Row and Item.
const (
	fieldKind        protowire.Number = 1
	fieldFrom        protowire.Number = 2
	fieldTo          protowire.Number = 3
	fieldChecksums   protowire.Number = 4
	fieldBucket      protowire.Number = 5
	fieldDigest      protowire.Number = 6
	fieldWant        protowire.Number = 7
	fieldRow         protowire.Number = 8
	fieldName        protowire.Number = 1
	fieldChecksum    protowire.Number = 2
	fieldDataCentre  protowire.Number = 2
	fieldAddress     protowire.Number = 3
	fieldBoot        protowire.Number = 4
	fieldIncarnation protowire.Number = 5
	fieldStatus      protowire.Number = 6
	fieldItem        protowire.Number = 7
	fieldKey         protowire.Number = 1
	fieldVersion     protowire.Number = 2
	fieldValue       protowire.Number = 3
)

// ErrMessage is returned for data that is not a valid message.
var ErrMessage = errors.New("membership message is not readable")

func appendUint(b []byte, n protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), v)
}

func appendBytes[T string | []byte](b []byte, n protowire.Number, v T) []byte {
	return protowire.AppendString(protowire.AppendTag(b, n, protowire.BytesType), string(v))
}

// Encode returns the message in the protobuf wire format, without the receiver's
// address.
func (m Message) Encode() []byte {
	var b []byte
	b = appendUint(b, fieldKind, uint64(m.Kind))
	b = appendBytes(b, fieldFrom, m.From)
	b = appendBytes(b, fieldTo, m.To)
	if len(m.Checksums) > 0 {
		var packed []byte
		for _, s := range m.Checksums {
			packed = protowire.AppendFixed32(packed, s)
		}
		b = appendBytes(b, fieldChecksums, packed)
	}
	for _, i := range m.Buckets {
		b = appendUint(b, fieldBucket, uint64(i)+1)
	}
	for _, d := range m.Digests {
		b = appendBytes(b, fieldDigest, d.encode())
	}
	for _, name := range m.Want {
		b = appendBytes(b, fieldWant, name)
	}
	for _, r := range m.Rows {
		b = appendBytes(b, fieldRow, r.encode())
	}
	return b
}

func (d Digest) encode() []byte {
	b := appendBytes(nil, fieldName, d.Name)
	b = protowire.AppendTag(b, fieldChecksum, protowire.Fixed32Type)
	return protowire.AppendFixed32(b, d.Checksum)
}

func (r Row) encode() []byte {
	b := appendBytes(nil, fieldName, r.Name)
	if r.Address != "" {
		b = appendBytes(b, fieldDataCentre, r.DataCentre)
		b = appendBytes(b, fieldAddress, r.Address)
	}
	b = appendUint(b, fieldBoot, r.Boot)
	b = appendUint(b, fieldIncarnation, uint64(r.Incarnation))
	b = appendUint(b, fieldStatus, uint64(r.Status))
	for _, i := range r.Items {
		b = appendBytes(b, fieldItem, i.encode())
	}
	return b
}

func (i Item) encode() []byte {
	b := appendBytes(nil, fieldKey, i.Key)
	b = appendUint(b, fieldVersion, i.Version)
	return appendBytes(b, fieldValue, i.Value)
}

func (r Row) encodedBytes() int { return len(r.encode()) }
