package readlimit

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"
)

// ErrTooLong marks input that has more bytes than the limit.
var ErrTooLong = errors.New("input is too long")

// All reads until EOF. The error is ErrTooLong if there are more than limit bytes.
func All(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, errors.Wrapf(ErrTooLong, "more than %d bytes", limit)
	}
	return data, err
}

// File reads a file. The error is ErrTooLong if it has more than limit bytes.
func File(name string, limit int64) ([]byte, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	data, err := All(file, limit)
	return data, errors.Wrapf(err, "reading %s", name)
}
