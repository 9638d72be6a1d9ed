package metastore

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
)

// piece is how much of an answer without end is written at once.
const piece = 4 << 10

// serveFault answers as a fault says, and reports whether it did.
func serveFault(w http.ResponseWriter, r *http.Request, fault Fault) bool {
	filler := bytes.Repeat([]byte("x"), piece)
	switch fault {
	case EndlessHeaderValue:
		endless(w, "HTTP/1.1 200 OK\r\nX-Filler: ", filler)
	case EndlessHeaders:
		endless(w, "HTTP/1.1 200 OK\r\n", bytes.Repeat([]byte("X-Filler: x\r\n"), piece/16))
	case EndlessInterim:
		endless(w, "", bytes.Repeat([]byte("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"), piece/64))
	case EndlessBody:
		endless(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Appendf(nil, "%x\r\n%s\r\n", len(filler), filler))
	case Compressed:
		w.Header().Set("Content-Encoding", "gzip")
		z := gzip.NewWriter(w)
		// The reader may be gone; then it calls again.
		_, _ = z.Write(make([]byte, piece))
		_ = z.Close()
	case Redirected:
		http.Redirect(w, r, r.URL.String(), http.StatusTemporaryRedirect)
	case HugeRecord, TinyRecords, EndBeforeOffset:
		if r.URL.Path != "/log-read" {
			return false
		}
		serveOddRead(w, fault)
	default:
		return false
	}
	return true
}

// serveOddRead answers a read with records that no store holds.
func serveOddRead(w io.Writer, fault Fault) {
	end := uint64(1 << 40)
	if fault == EndBeforeOffset {
		end = 0
	}
	data := binary.BigEndian.AppendUint64(nil, end)
	data = binary.BigEndian.AppendUint64(data, 0)
	switch fault {
	case HugeRecord:
		data = append(data, 0xff, 0xff, 0xff, 0xff)
	case TinyRecords:
		const size = 1 << 20
		data = append(data, bytes.Repeat([]byte{0, 0, 0, 2, 1, 'k'}, size/6)...)
	}
	// The reader may be gone; then it reads again.
	_, _ = w.Write(data)
}

// endless writes a beginning and then the same bytes until the caller closes
// the connection.
func endless(w http.ResponseWriter, beginning string, again []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, err = io.WriteString(conn, beginning)
	for err == nil {
		_, err = conn.Write(again)
	}
}
