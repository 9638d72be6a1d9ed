package exchange

import (
	"net"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/answer"
)

// writeRequest writes a request. A large one is written while the answer is read, because
// a server may answer before it has read the request.
func (c *conn) writeRequest(r *Request) answer.Write {
	data := make([]byte, 0, 512+min(len(r.Body), maxInlineRequestBytes))
	data = append(data, r.Method...)
	data = append(data, ' ')
	data = append(data, r.Target...)
	data = append(data, " HTTP/1.1\r\nHost: "...)
	data = append(data, r.Host...)
	data = append(data, "\r\n"...)
	for name, values := range r.Header {
		for _, value := range values {
			data = append(data, name...)
			data = append(data, ": "...)
			data = append(data, value...)
			data = append(data, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		data = append(data, "Content-Length: "...)
		data = strconv.AppendInt(data, int64(len(r.Body)), 10)
		data = append(data, "\r\n"...)
	}
	data = append(data, "\r\n"...)
	write := answer.NewWrite()
	if len(data)+len(r.Body) <= maxInlineRequestBytes {
		data = append(data, r.Body...)
		_, err := c.Write(data)
		write.End(err)
		return write
	}
	c.allowPauses()
	go func() {
		_, err := (&net.Buffers{data, r.Body}).WriteTo(&patientConn{Conn: c.Conn})
		write.End(err)
		if errors.Is(err, errOutOfReach) {
			c.Close()
		}
	}()
	return write
}
