package gateway

import (
	"io"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/answer"
	"github.com/chicorystall/chicorystall/internal/exchange"
)

// Reasons of attempts that failed with their connection. A description of the
// system error may follow.
const (
	reasonAnswerBroken  = "answer broke off"
	reasonStreamBroken  = "stream broke off"
	reasonConnectFailed = "connection failed"
)

// failureReason returns the reason of an attempt that failed with an error. The
// reasons are bounded in number since they are metric labels: they contain no
// addresses and no text that a server sent. prefix is used for connection errors.
func failureReason(prefix string, err error) string {
	var tooLong *exchange.TooLongError
	var errno syscall.Errno
	switch {
	case errors.As(err, &tooLong):
		return "answer too long: " + tooLong.Part.String()
	case errors.Is(err, answer.ErrMalformed):
		return "answer malformed"
	case errors.Is(err, answer.ErrEarlyEnd):
		return answer.ErrEarlyEnd.Error()
	case errors.Is(err, exchange.ErrForeignAnswer):
		return "answer to another request"
	case errors.Is(err, errGap), errors.Is(err, errRepetition):
		return err.Error()
	case errors.Is(err, io.ErrUnexpectedEOF):
		return prefix + ": " + io.ErrUnexpectedEOF.Error()
	case errors.As(err, &errno):
		return prefix + ": " + errno.Error()
	}
	return prefix
}
