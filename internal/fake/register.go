package fake

import (
	"context"
	"time"

	"github.com/chicorystall/chicorystall/internal/platform"
)

// registerInterval is the time between two registrations of a stand-in.
const registerInterval = 500 * time.Millisecond

// KeepRegistered registers a stand-in with the platform until the context
// ends. The function returns false while the stand-in has no process.
func KeepRegistered(ctx context.Context, platformAddress string, instance func() (platform.Instance, bool)) {
	client := platform.New(platformAddress)
	defer client.Close()
	ticker := time.NewTicker(registerInterval)
	defer ticker.Stop()
	for {
		if current, ok := instance(); ok {
			client.Register(ctx, current) // tried again at the next tick
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
