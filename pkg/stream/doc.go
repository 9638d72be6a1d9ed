// Package stream holds the chunks of an answer between a model engine and a slow
// caller, in a fixed number of bytes for each stream and for all of them.
//
// Each Buffer has one producer, which reads from the engine, and one consumer,
// which writes to the caller. Chunks are numbered from 0. When a buffer is full
// the producer stops reading; when it stays full it cancels the stream at the
// engine and resumes it later.
//
//	memory := &stream.Memory{TotalBytes: 64 << 20}
//	buffer := stream.NewBuffer("request-1", memory, stream.Options{})
//
//	// the producer
//	switch buffer.Put(chunk) {
//	case stream.Accepted, stream.Duplicate, stream.Foreign:
//		// read the next chunk from the engine
//	case stream.Full:
//		advice, err := buffer.Await(ctx) // Send: put the chunk again
//		// Cancel: cancel at the engine, Await, resume from buffer.NextSequence
//	}
//	buffer.Close(stream.End{Whole: true, Chunks: n})
//
//	// the consumer
//	for {
//		chunk, err := buffer.Next(ctx) // io.EOF after a whole answer, *CutError after a cut
//	}
package stream
