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

// Finding is one fault of a chart's file.
type Finding struct {
	File    string
	Line    int // first line is 1; 0 when the fault concerns the whole file
	Problem string
}

func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Problem)
}

// Error holds every finding of a chart's file in the order of its lines.
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

// document is the file's form.
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

// Parse reads a chart from TOML. name is the file's name in findings. A
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

// position names a key: the index of its transition, or top for a key of the
// file itself.
type position struct {
	transition int
	key        string
}

const top = -1

// keyLines returns the line of each key, and under the empty key the line of
// each transition's header.
func keyLines(data []byte) map[position]int {
	lines := make(map[position]int)
	var p unstable.Parser
	p.Reset(data)
	current := top
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
