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
	const acknowledged, responseLost, requestLost, delayed = journaltest.Acknowledged, journaltest.ResponseLost, journaltest.RequestLost, journaltest.Delayed
	tests := []struct {
		name     string
		outcomes []journaltest.Outcome
		want     journal.Offset
		copies   int
	}{
		{"acknowledged", []journaltest.Outcome{acknowledged}, 2, 1},
		{"response lost", []journaltest.Outcome{responseLost}, 2, 1},
		{"request lost", []journaltest.Outcome{requestLost}, 2, 1},
		{"request lost, then response lost", []journaltest.Outcome{requestLost, responseLost}, 2, 1},
		{"first copy delayed", []journaltest.Outcome{delayed}, 2, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				var log journaltest.Log
				writer := journal.Writer{Log: log.Client()}
				_, err := writer.Append(t.Context(), stream, journal.Record{Format: 1, ID: "other", Kind: kindChange})
				g.Expect(err).NotTo(HaveOccurred())
				log.SetOutcomes(test.outcomes...)
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

func TestWriterLogUnavailable(t *testing.T) {
	change := journal.Record{Format: 1, ID: "x", Kind: kindChange}
	t.Run("append certainly had no effect", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			var log journaltest.Log
			log.SetUnavailable(true)
			writer := journal.Writer{Log: log.Client()}
			_, err := writer.Append(t.Context(), stream, change)
			g.Expect(errors.Is(err, journal.ErrUnavailable)).To(BeTrue())
			g.Expect(errors.Is(err, journal.ErrOutcomeUnknown)).To(BeFalse())
		})
	})
	t.Run("outcome unknown, then resolved", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			var log journaltest.Log
			client := log.Client()
			appendThenFail := func(ctx context.Context, stream string, data []byte) (journal.Offset, error) {
				at, err := client.Append(ctx, stream, data)
				log.SetUnavailable(true)
				return at, err
			}
			log.SetOutcomes(journaltest.ResponseLost)
			writer := journal.Writer{Log: journal.Log{Append: appendThenFail, Read: client.Read}}
			_, err := writer.Append(t.Context(), stream, change)
			var unknown *journal.UnknownError
			g.Expect(errors.As(err, &unknown)).To(BeTrue())
			g.Expect(errors.Is(err, journal.ErrOutcomeUnknown)).To(BeTrue())
			time.AfterFunc(time.Minute, func() { log.SetUnavailable(false) })
			at, err := writer.Resolve(t.Context(), unknown)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(at).To(Equal(journal.Offset(1)))
		})
	})
	t.Run("outcome unknown until the context ends", func(t *testing.T) {
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
