package telemetry

import (
	"io"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// fillerReader returns a number of equal bytes without a newline.
type fillerReader struct{ remaining int }

func (r *fillerReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, io.EOF
	}
	n := min(len(p), r.remaining)
	for i := range p[:n] {
		p[i] = 'x'
	}
	r.remaining -= n
	return n, nil
}

// Collect must find the log lines in a file that also has very long lines, for
// example from another program.
func TestCollectSkipsOverlongLines(t *testing.T) {
	const line = `{"time":"2026-01-02T03:04:05.000Z","msg":"admitted","request":"r"}` + "\n"
	for _, c := range []struct {
		name string
		log  io.Reader
		want int
	}{
		{"between two lines", io.MultiReader(strings.NewReader(line), &fillerReader{3 * maxLineBytes}, strings.NewReader("\n"+line)), 2},
		{"at the end", io.MultiReader(strings.NewReader(line), &fillerReader{3 * maxLineBytes}), 1},
		{"as long as the buffer", io.MultiReader(&fillerReader{maxLineBytes}, strings.NewReader("\n"+line)), 1},
		{"a last line without a newline", strings.NewReader(line + strings.TrimSpace(line)), 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			lines, err := Collect(c.log, "r", nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(lines).To(HaveLen(c.want))
		})
	}
}
