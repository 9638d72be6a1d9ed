// Package readlimit reads files and streams of unknown length, and fails if they
// exceed a size limit.
//
//	data, err := readlimit.File("entry-1.toml", 1<<20)
//	if errors.Is(err, readlimit.ErrTooLong) {
//		// the file has more than 1 MiB
//	}
package readlimit
