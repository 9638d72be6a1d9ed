package answer_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/answer"
)

func TestCheckHead(t *testing.T) {
	for _, c := range []struct {
		name string
		head string
		want string // error; empty for a valid head
	}{
		{"no fields", "HTTP/1.1 200 OK\r\n", ""},
		{"usual fields", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nx-request-id: r\r\nX_Y.Z!: \r\n", ""},
		{"blank before a value", "HTTP/1.1 200 OK\r\nContent-Length:  0\r\n", ""},
		{"blank in a name", "HTTP/1.1 200 OK\r\nBad Name: x\r\n", `malformed answer: invalid field name "Bad Name"`},
		{"blank after a name", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n", `malformed answer: invalid field name "Content-Length "`},
		{"blank in the name of an informational answer", "HTTP/1.1 103 Hints\r\nBad Name: x\r\n", `malformed answer: invalid field name "Bad Name"`},
		{"status 000", "HTTP/1.1 000 None\r\n", "malformed answer: invalid status 000"},
		{"status with a sign", "HTTP/1.1 +20 None\r\n", "malformed answer: invalid status 020"},
		{"status 099", "HTTP/1.1 099 None\r\n", "malformed answer: invalid status 099"},
		{"status 100", "HTTP/1.1 100 Continue\r\n", ""},
		{"status 101", "HTTP/1.1 101 Switching Protocols\r\n", "malformed answer: invalid status 101"},
		{"status 599", "HTTP/1.1 599 Own\r\n", ""},
		{"status 600", "HTTP/1.1 600 None\r\n", "malformed answer: invalid status 600"},
		{"status 999", "HTTP/1.1 999 None\r\n", "malformed answer: invalid status 999"},
		{"long name", "HTTP/1.1 200 OK\r\n" + strings.Repeat("x", 500) + " : x\r\n", `malformed answer: invalid field name "` + strings.Repeat("x", 100)},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(c.head+"\r\n")), nil)
			g.Expect(err).NotTo(HaveOccurred())
			err = answer.CheckHead(resp)
			if c.want == "" {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(err).To(MatchError(c.want))
			g.Expect(errors.Is(err, answer.ErrMalformed)).To(BeTrue())
		})
	}
}
