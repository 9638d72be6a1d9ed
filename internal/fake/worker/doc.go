// Package worker is a stand-in for a model engine with continuous batching. It caches
// prompt prefixes, resumes and cancels streams, accepts orders, starts cold and
// crashes when it is overloaded. The text of an answer depends only on the prompt and
// the number of tokens, so that tests can compare answers.
//
//	w := worker.New(worker.Config{Name: "a1", Model: "draft", ModelVersion: "1"})
//	err := w.Start(ctx, "127.0.0.1:0")
//	client := engine.New(engine.Options{Address: w.Address()})
//	w.Inject(worker.Faults{Crash: true})
package worker
