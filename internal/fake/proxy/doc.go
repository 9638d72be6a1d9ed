// Package proxy is a TCP pass-through for tests. It can cut connections at a
// byte and let open ones go silent while new ones work.
//
//	p, err := proxy.Start(ctx, "127.0.0.1:0", worker.Address())
//	client := engine.New(engine.Options{Address: p.Address()})
//	p.SilenceOpen()
package proxy
