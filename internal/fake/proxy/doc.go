// Package proxy is a TCP proxy for tests. It can close connections after a number of
// bytes, and stop forwarding on open connections while new ones work.
//
//	p, err := proxy.Start(ctx, "127.0.0.1:0", worker.Address())
//	client := engine.New(engine.Options{Address: p.Address()})
//	p.SilenceOpen()
package proxy
