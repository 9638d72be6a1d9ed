package stream

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func chunk(id string, sequence uint64, bytes int) Chunk {
	return Chunk{Stream: id, Sequence: sequence, Data: make([]byte, bytes)}
}

func TestPutKeepsOrderAndDropsStrangers(t *testing.T) {
	tests := []struct {
		chunk Chunk
		want  PutResult
	}{
		{chunk("a", 0, 10), Accepted},
		{chunk("a", 0, 10), Duplicate},
		{chunk("b", 1, 10), Foreign},
		{chunk("a", 2, 10), Gap},
		{chunk("a", 1, 101), TooLarge},
		{chunk("a", 1, 85), Accepted},
		{chunk("a", 2, 10), Full},
	}
	g := NewWithT(t)
	b := NewBuffer("a", &Memory{StreamBytes: 100}, Options{})
	for _, test := range tests {
		g.Expect(b.Put(test.chunk)).To(Equal(test.want), "chunk %d", test.chunk.Sequence)
	}
	g.Expect(b.Counts()).To(Equal(Counts{Duplicates: 1, Foreign: 1, Gaps: 1}))
	g.Expect(b.NextSequence()).To(Equal(uint64(2)))
}

func TestEndTellsWholeFromCut(t *testing.T) {
	var cut *CutError
	tests := []struct {
		name string
		end  End
		want any
	}{
		{"whole", End{Complete: true, Chunks: 1}, io.EOF},
		{"end mark counts more", End{Complete: true, Chunks: 2}, cut},
		{"cut", End{Reason: "reset by peer"}, cut},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			m := &Memory{}
			b := NewBuffer("a", m, Options{})
			b.Put(chunk("a", 0, 10))
			b.Close(test.end)
			g.Expect(b.Put(chunk("a", 1, 10))).To(Equal(Ended))
			_, err := b.Next(t.Context())
			g.Expect(err).NotTo(HaveOccurred(), "chunks before the end come first")
			_, err = b.Next(t.Context())
			g.Expect(err).To(BeAssignableToTypeOf(test.want))
			g.Expect(m.Used()).To(BeZero())
		})
	}
}

func TestFullStreamIsCancelledAndResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := NewBuffer("a", &Memory{StreamBytes: 100}, Options{CancelAfter: time.Second})
		for n := range uint64(2) {
			g.Expect(b.Put(chunk("a", n, 50))).To(Equal(Accepted))
		}
		g.Expect(b.Put(chunk("a", 2, 50))).To(Equal(Full))
		began := time.Now()
		g.Expect(b.Await(t.Context())).To(Equal(Cancel))
		g.Expect(time.Since(began)).To(Equal(time.Second))
		go func() {
			time.Sleep(time.Minute)
			b.Next(t.Context())
			b.Next(t.Context())
		}()
		g.Expect(b.Await(t.Context())).To(Equal(Send))
		g.Expect(b.NextSequence()).To(Equal(uint64(2)))
		g.Expect(b.Put(chunk("a", 2, 50))).To(Equal(Accepted))
		b.CloseRead()
		g.Expect(b.Await(t.Context())).To(Equal(Stop))
	})
}

// TestRandomStreams compares a few buffers on one small memory with a plain
// count of bytes and with what each consumer should see.
func TestRandomStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &Memory{TotalBytes: 800, StreamBytes: 90}
		var buffers []*Buffer
		put, got, held := make([]uint64, 4), make([]uint64, 4), make([]int, 4)
		for n := range put {
			buffers = append(buffers, NewBuffer(fmt.Sprint(n), m, Options{}))
		}
		done, cancel := context.WithCancel(context.Background())
		cancel()
		t.Repeat(map[string]func(*rapid.T){
			"Put": func(t *rapid.T) {
				n := rapid.IntRange(0, 3).Draw(t, "stream")
				seq := put[n] + uint64(rapid.IntRange(0, 2).Draw(t, "step")) - min(put[n], 1)
				if buffers[n].Put(chunk(fmt.Sprint(n), seq, 30)) == Accepted {
					if seq != put[n] {
						t.Fatalf("stream %d accepted chunk %d, want %d", n, seq, put[n])
					}
					put[n]++
					held[n] += 30
				}
			},
			"Next": func(t *rapid.T) {
				n := rapid.IntRange(0, 3).Draw(t, "stream")
				c, err := buffers[n].Next(done)
				if err != nil {
					return
				}
				if c.Sequence != got[n] {
					t.Fatalf("stream %d delivered chunk %d, want %d", n, c.Sequence, got[n])
				}
				got[n]++
				held[n] -= 30
			},
			"": func(t *rapid.T) {
				sum := 0
				for _, h := range held {
					sum += h
				}
				if m.Used() != sum || sum > m.TotalBytes {
					t.Fatalf("memory counts %d bytes, buffers hold %d", m.Used(), sum)
				}
			},
		})
	})
}

func ExampleBuffer() {
	b := NewBuffer("request-1", &Memory{}, Options{})
	b.Put(Chunk{Stream: "request-1", Sequence: 0, Data: []byte("Ex ")})
	b.Put(Chunk{Stream: "request-1", Sequence: 1, Data: []byte("libris")})
	b.Close(End{Complete: true, Chunks: 2})
	for {
		c, err := b.Next(context.Background())
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Printf("%d %q\n", c.Sequence, c.Data)
	}
	// Output:
	// 0 "Ex "
	// 1 "libris"
	// EOF
}
