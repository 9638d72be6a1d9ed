package answer

import (
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed marks an answer that is not valid HTTP.
var ErrMalformed = errors.New("answer is malformed")

// maxTextBytes is the largest part that Malformed keeps of a text.
const maxTextBytes = 120

const (
	minStatus = http.StatusContinue
	maxStatus = 599
)

// CheckHead returns an error marked with ErrMalformed unless the head of an answer, which
// may be informational, is valid. It checks what net/http lets through: blanks in the
// names of fields (RFC 9112, section 5.1), a status outside the five classes (RFC 9110,
// section 15), and a switch of protocols, for which no request asks.
func CheckHead(resp *http.Response) error {
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus || resp.StatusCode == http.StatusSwitchingProtocols {
		return Malformed(fmt.Sprintf("invalid status %03d", resp.StatusCode))
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return Malformed(fmt.Sprintf("invalid field name %q", name))
		}
	}
	return nil
}

// Malformed returns an error marked with ErrMalformed. The text is cut, since it may quote
// the answer.
func Malformed(text string) error {
	return errors.Mark(errors.Newf("malformed answer: %s", text[:min(len(text), maxTextBytes)]), ErrMalformed)
}
