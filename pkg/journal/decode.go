package journal

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// decodeStrict decodes one JSON value and returns an error for unknown fields
// and trailing data.
func decodeStrict(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the JSON value")
	}
	return nil
}

// DecodeBody decodes the record's body and returns an error for unknown fields,
// so that every release that knows the record's format accepts the same records.
func (r Record) DecodeBody(v any) error {
	if err := decodeStrict(r.Body, v); err != nil {
		return errors.Wrapf(err, "decode body of kind %s", r.Kind)
	}
	return nil
}
