package engine_test

import (
	"context"
	"fmt"
	"io"

	"github.com/chicorystall/chicorystall/internal/engine"
	"github.com/chicorystall/chicorystall/internal/fake/worker"
)

func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := worker.New(worker.Config{Name: "a1", Model: "draft", ModelVersion: "1", Warm: true})
	if err := w.Start(ctx, "127.0.0.1:0"); err != nil {
		fmt.Println(err)
		return
	}
	client := engine.New(engine.Options{Address: w.Address()})
	defer client.Close()
	stream, err := client.Stream(ctx, engine.Request{
		ID:   "r1",
		Path: engine.CompletionPath,
		Body: []byte(`{"prompt":"a motto","max_tokens":3,"stream":true}`),
	})
	for err == nil {
		var chunk engine.Chunk
		if chunk, err = stream.Next(); err == nil {
			fmt.Println("chunk", chunk.Number)
		}
	}
	fmt.Println("complete:", err == io.EOF)
	// Output:
	// chunk 1
	// chunk 2
	// chunk 3
	// chunk 4
	// complete: true
}
