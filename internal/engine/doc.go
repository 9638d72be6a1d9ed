// Package engine is the HTTP client of one model engine or of one worker of a
// plain service. Each failure tells whether the backend server may have
// received the request.
//
//	client := engine.New(engine.Options{Address: "127.0.0.1:7100"})
//	stream, err := client.Stream(ctx, engine.Request{
//		ID: id, Path: engine.ChatPath, Body: body, BootID: bootID,
//	})
//	if errors.Is(err, engine.ErrNotSent) {
//		// another backend server may get the request
//	}
//	for {
//		chunk, err := stream.Next()
//		if err == io.EOF { // the end mark was seen
//			break
//		}
//		...
//	}
package engine
