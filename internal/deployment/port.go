package deployment

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// The ports that FreeAddresses chooses from lie below those that the system gives
// to outgoing connections, which could take one before it is listened at.
const (
	firstPort = 12000
	lastPort  = 32000
)

// lastTried is the port that was tried last.
var lastTried atomic.Uint32

func init() { lastTried.Store(uint32(rand.IntN(lastPort - firstPort))) }

// FreeAddresses returns loopback addresses that were free a moment ago, each one
// only once.
func FreeAddresses(count int) ([]string, error) {
	var addresses []string
	for range lastPort - firstPort {
		if len(addresses) == count {
			return addresses, nil
		}
		port := firstPort + lastTried.Add(1)%(lastPort-firstPort)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return nil, errors.Newf("no %d ports from %d to %d are free", count, firstPort, lastPort)
}
