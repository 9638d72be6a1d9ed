package metastore

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
)

// pieceBytes is the approximate size of each write of an endless answer.
const pieceBytes = 4 << 10

// serveFault answers a call with the fault. It returns false if the fault doesn't
// apply to the call, which is then served as usual.
func serveFault(w http.ResponseWriter, r *http.Request, fault Fault) bool {
	filler := bytes.Repeat([]byte("x"), pieceBytes)
	switch fault {
	case EndlessHeaderValue:
		writeEndless(w, "HTTP/1.1 200 OK\r\nX-Filler: ", filler)
	case EndlessHeaders:
		writeEndless(w, "HTTP/1.1 200 OK\r\n", bytes.Repeat([]byte("X-Filler: x\r\n"), pieceBytes/16))
	case EndlessInterim:
		writeEndless(w, "", bytes.Repeat([]byte("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"), pieceBytes/64))
	case EndlessBody:
		writeEndless(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Appendf(nil, "%x\r\n%s\r\n", len(filler), filler))
	case Compressed:
		w.Header().Set("Content-Encoding", "gzip")
		z := gzip.NewWriter(w)
		// Errors are ignored: a caller that has disconnected calls again.
		_, _ = z.Write(make([]byte, pieceBytes))
		_ = z.Close()
	case Redirected:
		http.Redirect(w, r, r.URL.String(), http.StatusTemporaryRedirect)
	case HugeRecord, TinyRecords, EndBeforeOffset:
		if r.URL.Path != "/log-read" {
			return false
		}
		serveInvalidRead(w, fault)
	default:
		return false
	}
	return true
}

// serveInvalidRead answers a read with records or offsets that a correct store never
// sends.
func serveInvalidRead(w io.Writer, fault Fault) {
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
	// The error is ignored: a caller that has disconnected reads again.
	_, _ = w.Write(data)
}

// writeEndless writes start and then the repeated bytes until the caller closes the
// connection.
func writeEndless(w http.ResponseWriter, start string, repeated []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, err = io.WriteString(conn, start)
	for err == nil {
		_, err = conn.Write(repeated)
	}
}
