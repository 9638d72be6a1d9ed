package journal_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/chicorystall/chicorystall/pkg/journal/journaltest"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
)

func TestWriterAppend(t *testing.T) {
	const given, after, before, delay = journaltest.Given, journaltest.LostAfter, journaltest.LostBefore, journaltest.LostAndDelay
	tests := []struct {
		name    string
		answers []journaltest.Answer
		want    journal.Offset
		copies  int
	}{
		{"answer given", []journaltest.Answer{given}, 2, 1},
		{"answer lost after the append", []journaltest.Answer{after}, 2, 1},
		{"answer lost before the append", []journaltest.Answer{before}, 2, 1},
		{"lost before and after", []journaltest.Answer{before, after}, 2, 1},
		{"first copy comes late", []journaltest.Answer{delay}, 2, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				var log journaltest.Log
				writer := journal.Writer{Log: log.Client()}
				_, err := writer.Append(t.Context(), stream, journal.Record{Format: 1, ID: "other", Kind: kindChange})
				g.Expect(err).NotTo(HaveOccurred())
				log.Answer(test.answers...)
				at, err := writer.Append(t.Context(), stream, journal.Record{Format: 1, ID: "x", Kind: kindChange})
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(at).To(Equal(test.want))
				log.Deliver(stream)
				entries, _ := log.Appends()
				g.Expect(entries).To(Equal(1 + test.copies))
			})
		})
	}
}

func TestWriterWhileLogIsAway(t *testing.T) {
	change := journal.Record{Format: 1, ID: "x", Kind: kindChange}
	t.Run("no effect is certain", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			var log journaltest.Log
			log.SetAway(true)
			writer := journal.Writer{Log: log.Client()}
			_, err := writer.Append(t.Context(), stream, change)
			g.Expect(errors.Is(err, journal.ErrUnavailable)).To(BeTrue())
			g.Expect(errors.Is(err, journal.ErrOutcomeUnknown)).To(BeFalse())
		})
	})
	t.Run("unknown, then resolved", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			var log journaltest.Log
			client := log.Client()
			away := func(ctx context.Context, stream string, data []byte) (journal.Offset, error) {
				at, err := client.Append(ctx, stream, data)
				log.SetAway(true)
				return at, err
			}
			log.Answer(journaltest.LostAfter)
			writer := journal.Writer{Log: journal.Log{Append: away, Read: client.Read}}
			_, err := writer.Append(t.Context(), stream, change)
			var unknown *journal.UnknownError
			g.Expect(errors.As(err, &unknown)).To(BeTrue())
			g.Expect(errors.Is(err, journal.ErrOutcomeUnknown)).To(BeTrue())
			time.AfterFunc(time.Minute, func() { log.SetAway(false) })
			at, err := writer.Resolve(t.Context(), unknown)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(at).To(Equal(journal.Offset(1)))
		})
	})
	t.Run("unknown to the end", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			var log journaltest.Log
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			writer := journal.Writer{Log: log.Client()}
			_, err := writer.Resolve(ctx, &journal.UnknownError{Stream: stream, Record: change})
			g.Expect(errors.Is(err, journal.ErrOutcomeUnknown)).To(BeTrue())
		})
	})
}
