// Package platform is a stand-in for the platform: its append-only log, its list of
// instances, which lags, and its weight store, which is rate-limited.
//
//	p := platform.New(platform.Config{})
//	err := p.Start(ctx, "127.0.0.1:0")
//	client := client.New(p.Address())
//	p.Inject(platform.Faults{LoseAnswers: 1})
package platform
