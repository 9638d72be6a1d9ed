package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one error in a file or in a record, with its position.
type Finding struct {
	File    string `json:",omitempty"` // empty for a record
	Line    int    `json:",omitempty"` // 1 is the first line
	Column  int    `json:",omitempty"` // 1 is the first column
	Key     string // key or item with the error
	Message string
}

// String returns the finding as `file:line:col: Key: message`, without the position if
// there is none.
func (f Finding) String() string {
	text := f.Message
	if f.Key != "" {
		text = f.Key + ": " + text
	}
	if f.File == "" {
		return text
	}
	if f.Line == 0 {
		return f.File + ": " + text
	}
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, text)
}

// Findings are all findings about one input, which is valid if there are none.
type Findings []Finding

// Error implements error. It returns one line per finding.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings as an error, or nil if there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// sorted returns the findings sorted by position, key and message, without duplicates.
// It reorders f.
func (f Findings) sorted() Findings {
	slices.SortFunc(f, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Key, b.Key),
			cmp.Compare(a.Message, b.Message),
		)
	})
	return slices.Compact(f)
}
