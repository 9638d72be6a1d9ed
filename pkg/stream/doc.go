// Package stream buffers the chunks of an answer between a model engine and a slow
// caller. It limits the memory of each stream and of all streams together.
//
// Each Buffer has one producer, which reads from the engine, and one consumer, which
// writes to the caller. Chunks are numbered from 0. While the buffer is full, the
// producer stops reading from the engine. If the buffer stays full, the producer cancels
// the stream at the engine, and resumes it when the caller reads again.
//
//	memory := &stream.Memory{TotalBytes: 64 << 20}
//	buffer := stream.NewBuffer("request-1", memory, stream.Options{})
//
//	// the producer
//	switch buffer.Put(chunk) {
//	case stream.Accepted, stream.Duplicate, stream.Foreign:
//		// read the next chunk from the engine
//	case stream.Full:
//		advice, err := buffer.Await(ctx)
//		// Send: put the chunk again.
//		// Cancel: cancel the stream at the engine, call Await until it returns Send,
//		// and resume the stream at the engine from buffer.NextSequence().
//		// Stop: end the stream at the engine.
//	}
//	buffer.Close(end)
//
//	// the consumer
//	for {
//		chunk, err := buffer.Next(ctx) // io.EOF after a complete answer, else *TruncatedError
//	}
package stream
