package member

import (
	"google.golang.org/protobuf/encoding/protowire"
)

// field is one field of an encoded message.
type field struct {
	number protowire.Number
	value  uint64 // of a varint or fixed32 field
	bytes  []byte // of a length-delimited field
}

// eachField calls visit with each field, including fields that only later releases
// know. visit must ignore those.
func eachField(b []byte, visit func(field) error) error {
	for len(b) > 0 {
		number, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return ErrMessage
		}
		b = b[n:]
		f := field{number: number}
		f, n = consumeValue(f, kind, b)
		if n < 0 {
			return ErrMessage
		}
		b = b[n:]
		if err := visit(f); err != nil {
			return err
		}
	}
	return nil
}

// consumeValue decodes the value of a field, and returns the field and the number of
// bytes read, which is negative on an error.
func consumeValue(f field, kind protowire.Type, b []byte) (field, int) {
	var n int
	switch kind {
	case protowire.VarintType:
		f.value, n = protowire.ConsumeVarint(b)
	case protowire.BytesType:
		f.bytes, n = protowire.ConsumeBytes(b)
	case protowire.Fixed32Type:
		var v uint32
		v, n = protowire.ConsumeFixed32(b)
		f.value = uint64(v)
	default:
		n = protowire.ConsumeFieldValue(f.number, kind, b)
	}
	return f, n
}

// Decode decodes a message. The error is nil or ErrMessage.
func Decode(data []byte) (Message, error) {
	var m Message
	err := eachField(data, func(f field) error { return m.decodeField(f) })
	if err != nil || m.From == "" || m.Kind > Sync || m.Kind < Ping {
		return Message{}, ErrMessage
	}
	return m, nil
}

func (m *Message) decodeField(f field) error {
	var err error
	switch f.number {
	case fieldKind:
		m.Kind = MessageKind(f.value)
	case fieldFrom:
		m.From = string(f.bytes)
	case fieldTo:
		m.To = string(f.bytes)
	case fieldChecksums:
		m.Checksums, err = decodeChecksums(f.bytes)
	case fieldBucket:
		if f.value == 0 || f.value > bucketCount {
			return ErrMessage
		}
		m.Buckets = append(m.Buckets, int(f.value)-1)
	case fieldDigest:
		var d Digest
		err = d.decode(f.bytes)
		m.Digests = append(m.Digests, d)
	case fieldWant:
		m.Want = append(m.Want, string(f.bytes))
	case fieldRow:
		var r Row
		err = r.decode(f.bytes)
		m.Rows = append(m.Rows, r)
	}
	return err
}

func decodeChecksums(b []byte) ([]uint32, error) {
	var checksums []uint32
	for len(b) > 0 {
		v, n := protowire.ConsumeFixed32(b)
		if n < 0 {
			return nil, ErrMessage
		}
		checksums = append(checksums, v)
		b = b[n:]
	}
	return checksums, nil
}

func (d *Digest) decode(b []byte) error {
	return eachField(b, func(f field) error {
		switch f.number {
		case fieldName:
			d.Name = string(f.bytes)
		case fieldChecksum:
			d.Checksum = uint32(f.value)
		}
		return nil
	})
}

func (r *Row) decode(b []byte) error {
	err := eachField(b, func(f field) error {
		switch f.number {
		case fieldName:
			r.Name = string(f.bytes)
		case fieldDataCentre:
			r.DataCentre = string(f.bytes)
		case fieldAddress:
			r.Address = string(f.bytes)
		case fieldBoot:
			r.Boot = f.value
		case fieldIncarnation:
			r.Incarnation = uint32(f.value)
		case fieldStatus:
			r.Status = Status(f.value)
		case fieldItem:
			var i Item
			if err := i.decode(f.bytes); err != nil {
				return err
			}
			*r, _ = r.withItem(i)
		}
		return nil
	})
	if err == nil && (r.Name == "" || r.Status < Alive || r.Status > Left) {
		return ErrMessage
	}
	return err
}

func (i *Item) decode(b []byte) error {
	return eachField(b, func(f field) error {
		switch f.number {
		case fieldKey:
			i.Key = string(f.bytes)
		case fieldVersion:
			i.Version = f.value
		case fieldValue:
			i.Value = append([]byte(nil), f.bytes...)
		}
		return nil
	})
}
