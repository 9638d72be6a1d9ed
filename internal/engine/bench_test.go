package engine

import (
	"io"
	"strconv"
	"strings"
	"testing"
)

// BenchmarkNext measures Stream.Next on streams of 1,000 chunks in memory. One
// operation is one chunk.
func BenchmarkNext(b *testing.B) {
	const chunks = 1000
	var text strings.Builder
	for i := range chunks {
		text.WriteString("id: " + strconv.Itoa(i+1) + "\n" +
			`data: {"id":"0198c1e2-7b7e-7c3a-9f00-1f2e3d4c5b6a","object":"text_completion","created":0,"model":"draft",` +
			`"choices":[{"index":0,"text":"motto ","finish_reason":null}]}` + "\n\n")
	}
	text.WriteString("id: " + strconv.Itoa(chunks+1) + "\ndata: [DONE]\n\n")
	input := strings.NewReader(text.String())
	b.ReportAllocs()
	for n := 0; n < b.N; {
		input.Seek(0, io.SeekStart)
		s := &Stream{
			requestID:  "0198c1e2-7b7e-7c3a-9f00-1f2e3d4c5b6a",
			body:       io.NopCloser(input),
			events:     newEventReader(input, defaultMaxEventBytes),
			nextNumber: 1,
		}
		for {
			if _, err := s.Next(); err != nil {
				if err != io.EOF {
					b.Fatal(err)
				}
				break
			}
			n++
		}
	}
}
