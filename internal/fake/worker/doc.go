// Package worker is a stand-in of a model engine that batches continuously,
// caches prompt prefixes, resumes and cancels streams, takes orders, starts
// cold and falls over when it is overloaded. Its text is a function of the
// prompt and the number of tokens, so that answers can be compared.
//
//	w := worker.New(worker.Config{Name: "a1", Model: "draft", ModelVersion: "1"})
//	err := w.Start(ctx, "127.0.0.1:0")
//	client := engine.New(engine.Options{Address: w.Address()})
//	w.Inject(worker.Faults{Crash: true})
package worker
