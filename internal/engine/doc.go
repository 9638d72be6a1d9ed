// Package engine is the HTTP client of a model engine or of a worker of a plain
// service. Each error says whether the backend server may have received the request.
//
//	client := engine.New(engine.Options{Address: "127.0.0.1:7100"})
//	stream, err := client.Stream(ctx, engine.Request{
//		ID: id, Path: engine.ChatPath, Body: body, BootID: bootID,
//	})
//	if errors.Is(err, engine.ErrNotSent) {
//		// the request may be sent to another backend server
//	}
//	for {
//		chunk, err := stream.Next()
//		if err == io.EOF { // the answer is complete
//			break
//		}
//		...
//	}
package engine
