package journal

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// decodeStrict decodes one JSON value and refuses unknown fields and trailing
// data.
func decodeStrict(data []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the JSON value")
	}
	return nil
}

// DecodeBody decodes the record's body and refuses unknown fields, so that
// every release that knows the record's format reaches the same verdict.
func (r Record) DecodeBody(into any) error {
	if err := decodeStrict(r.Body, into); err != nil {
		return errors.Wrapf(err, "decode body of kind %s", r.Kind)
	}
	return nil
}
