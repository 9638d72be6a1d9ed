// Package platform is a stand-in of the platform: its append-only log, its
// lagging list of instances and its rate-limited weight store.
//
//	p := platform.New(platform.Config{})
//	err := p.Start(ctx, "127.0.0.1:0")
//	client := client.New(p.Address())
//	p.Inject(platform.Faults{LoseAnswers: 1})
package platform
