package chart

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Finding is an error in a chart file.
type Finding struct {
	File    string
	Line    int // starting at 1; 0 if the error concerns the whole file
	Problem string
}

func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Problem)
}

// Error holds all findings in a chart file, sorted by line.
type Error struct {
	Findings []Finding
}

func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// document is the structure of a chart file. The TOML keys are the names of its fields.
type document struct {
	Name       string
	Initial    string
	Final      []string
	States     []string
	Transition []transition
}

type transition struct {
	From  []string
	Event string
	To    string
}

// Parse parses a chart from TOML. name is the file name that findings contain. A
// non-nil error is an *Error.
func Parse(name string, data []byte) (Chart, error) {
	var doc document
	dec := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := dec.Decode(&doc); err != nil {
		return Chart{}, &Error{decodeFindings(name, err)}
	}
	p := checker{file: name, doc: doc, lines: keyLines(data)}
	c := p.check()
	if len(p.findings) > 0 {
		slices.SortStableFunc(p.findings, func(a, b Finding) int { return a.Line - b.Line })
		return Chart{}, &Error{p.findings}
	}
	return c, nil
}

func decodeFindings(name string, err error) []Finding {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var findings []Finding
		for _, e := range strict.Errors {
			row, _ := e.Position()
			key := strings.Join(e.Key(), ".")
			findings = append(findings, Finding{name, row, fmt.Sprintf("key %q is not known", key)})
		}
		return findings
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		return []Finding{{name, row, decode.Error()}}
	}
	return []Finding{{name, 0, err.Error()}}
}

// position identifies a key by its name and the index of its transition, or
// topLevel for a top-level key.
type position struct {
	transition int
	key        string
}

const topLevel = -1

// keyLines returns the line of each key. The header of a transition is listed under
// the empty key.
func keyLines(data []byte) map[position]int {
	lines := make(map[position]int)
	var p unstable.Parser
	p.Reset(data)
	current := topLevel
	for p.NextExpression() {
		expr := p.Expression()
		keys := expr.Key()
		if !keys.Next() {
			continue
		}
		key := keys.Node()
		line := p.Shape(key.Raw).Start.Line
		if expr.Kind == unstable.ArrayTable {
			current++
			lines[position{current, ""}] = line
			continue
		}
		lines[position{current, string(key.Data)}] = line
	}
	return lines
}
