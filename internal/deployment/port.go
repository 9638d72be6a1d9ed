package deployment

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// FreeAddresses chooses from the ports from firstPort up to, but not including,
// lastPort. They lie below those that the system assigns to outgoing connections, since
// an outgoing connection could take a port before the caller listens on it.
const (
	firstPort = 12000
	lastPort  = 32000
)

// portCounter counts the ports tried in this process. It starts at a random number, so
// that processes running at the same time rarely try the same ports.
var portCounter atomic.Uint32

func init() { portCounter.Store(uint32(rand.IntN(lastPort - firstPort))) }

// FreeAddresses returns loopback addresses whose ports are free at the time of the
// check. Later calls return other addresses until all ports have been tried.
func FreeAddresses(count int) ([]string, error) {
	var addresses []string
	for range lastPort - firstPort {
		if len(addresses) == count {
			return addresses, nil
		}
		port := firstPort + portCounter.Add(1)%(lastPort-firstPort)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return nil, errors.Newf("no %d ports from %d to %d are free", count, firstPort, lastPort)
}
