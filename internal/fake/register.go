package fake

import (
	"context"
	"time"

	"github.com/chicorystall/chicorystall/internal/platform"
)

// registerInterval is the interval at which a stand-in renews its registration.
const registerInterval = 500 * time.Millisecond

// KeepRegistered registers a stand-in with the platform periodically until the
// context ends. The instance function returns false while the stand-in has no
// process; it isn't registered then.
func KeepRegistered(ctx context.Context, platformAddress string, instance func() (platform.Instance, bool)) {
	client := platform.New(platformAddress)
	defer client.Close()
	ticker := time.NewTicker(registerInterval)
	defer ticker.Stop()
	for {
		if current, ok := instance(); ok {
			client.Register(ctx, current) // an error is ignored, since the next tick retries
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
