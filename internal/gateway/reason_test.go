package gateway

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/answer"
	"github.com/chicorystall/chicorystall/internal/exchange"
)

// A reason is a metric label, so it must not contain a port or an address.
func TestFailureReasonsAreBounded(t *testing.T) {
	reset := &net.OpError{
		Op: "read", Net: "tcp", Source: &net.TCPAddr{Port: 40123}, Addr: &net.TCPAddr{Port: 80},
		Err: os.NewSyscallError("read", syscall.ECONNRESET),
	}
	for _, c := range []struct {
		err  error
		want string
	}{
		{errors.Wrap(reset, "reading the answer"), "answer broke off: connection reset by peer"},
		{errors.Wrap(io.ErrUnexpectedEOF, "reading the answer"), "answer broke off: unexpected EOF"},
		{errors.New("read tcp 127.0.0.1:40123: i/o timeout"), "answer broke off"},
		{errors.Mark(errors.New("malformed: X"), answer.ErrMalformed), "answer malformed"},
		{errors.Wrap(&exchange.TooLongError{Part: exchange.Head, Limit: 1}, "reading"), "answer too long: head"},
		{errors.Mark(errors.Wrap(reset, "early end"), answer.ErrEarlyEnd), "answer ended before its request was written"},
		{errGap, "stream does not go on after the last event"},
	} {
		t.Run(c.want, func(t *testing.T) {
			NewWithT(t).Expect(failureReason(reasonAnswerBroken, c.err)).To(Equal(c.want))
		})
	}
}
