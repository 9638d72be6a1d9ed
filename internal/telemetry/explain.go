package telemetry

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// gapThreshold is the shortest gap between two lines that Explain reports. Explain
// also uses it as the margin before a request's first line and after its last line,
// within which it prints lines about the request's workers.
const gapThreshold = time.Second

// maxLineBytes is the maximum length of a log line that Collect reads.
const maxLineBytes = 1 << 20

// Line is one log line about a request or about a worker that it was sent to.
type Line struct {
	At       time.Time
	Instance string
	Event    string
	Fields   map[string]any // all other fields
}

// Collect returns the lines of a log about a request and about the given workers.
// It ignores text before the JSON of a line, and skips lines without JSON and lines
// longer than maxLineBytes.
func Collect(r io.Reader, request string, workers map[string]bool) ([]Line, error) {
	var lines []Line
	reader := bufio.NewReaderSize(r, maxLineBytes)
	for {
		text, err := nextLine(reader)
		if err == io.EOF {
			return lines, nil
		}
		if err != nil {
			return lines, errors.Wrap(err, "reading a log")
		}
		jsonStart := bytes.Index(text, []byte(`{"`))
		if jsonStart < 0 {
			continue
		}
		fields := map[string]any{}
		if json.Unmarshal(text[jsonStart:], &fields) != nil {
			continue
		}
		line := Line{Instance: removeString(fields, "instance"), Event: removeString(fields, "msg"), Fields: fields}
		at, err := time.Parse(time.RFC3339Nano, removeString(fields, "time"))
		if err != nil {
			continue
		}
		line.At = at
		if fields["request"] == request || workers[fmt.Sprint(fields["worker"])] {
			lines = append(lines, line)
		}
	}
}

// nextLine returns the next line that fits into the reader's buffer. Longer lines
// are skipped, since this program does not write any.
func nextLine(r *bufio.Reader) ([]byte, error) {
	for tooLong := false; ; {
		text, err := r.ReadSlice('\n')
		switch {
		case err == bufio.ErrBufferFull:
			tooLong = true
			continue
		case err == io.EOF && len(text) > 0:
			err = nil
		}
		if !tooLong || err != nil {
			return text, err
		}
		tooLong = false
	}
}

// removeString removes a field and returns its value, or "" if it is not a string.
func removeString(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	delete(fields, name)
	return text
}

// Places returns the workers that a request was sent to.
func Places(lines []Line) map[string]bool {
	places := map[string]bool{}
	for _, l := range lines {
		if place, ok := l.Fields["place"].(string); ok && place != "" {
			places[place] = true
		}
	}
	return places
}

// Explain writes the log lines of a request and of its workers during the request,
// ordered by time, and the gaps between them.
func Explain(w io.Writer, request string, lines []Line) error {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	requestLines := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return l.Fields["request"] != request })
	if len(requestLines) == 0 {
		return errors.Newf("request %q is in none of the logs", request)
	}
	first, last := requestLines[0].At, requestLines[len(requestLines)-1].At
	previous := first
	for _, l := range lines {
		if l.At.Before(first.Add(-gapThreshold)) || l.At.After(last.Add(gapThreshold)) {
			continue
		}
		if gap := l.At.Sub(previous); gap >= gapThreshold {
			fmt.Fprintf(w, "%10s  nothing was logged for %d ms\n", "", gap.Milliseconds())
		}
		previous = l.At
		fmt.Fprintf(w, "%+7d ms  %s  %s%s\n", l.At.Sub(first).Milliseconds(), l.Instance, l.Event, formatFields(l.Fields))
	}
	if lastLine := requestLines[len(requestLines)-1]; lastLine.Event != "ended" {
		fmt.Fprintf(w, "the request's log has no end: the process was stopped before the request ended, or its log is not among the files\n")
	}
	return nil
}

func formatFields(fields map[string]any) string {
	var b strings.Builder
	for _, name := range slices.SortedFunc(maps.Keys(fields), cmp.Compare[string]) {
		if name == "level" || name == "request" {
			continue
		}
		fmt.Fprintf(&b, "  %s=%v", name, fields[name])
	}
	return b.String()
}
