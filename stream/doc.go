// Package stream is the daemon's port to the platform's append-only log. The
// log is reached behind watermill's Publisher and Subscriber: a topic is a
// stream, and a message's offset is in its metadata. Client talks to the log
// over HTTP, Mem keeps streams in memory, and Debug logs each call of either.
// Writer repeats appends until they are known to be on the log.
//
// # Usage
//
//	log := stream.Dial("http://10.0.0.9:7000", stream.WithState(func(s stream.State) { ... }))
//	msgs, err := log.Subscribe(stream.From(ctx, 42), stream.Ownership)
//	for msg := range msgs {
//		if next, ok := stream.End(msg); ok {
//			// everything below next has been read
//		} else if first, ok := stream.Gap(msg); ok {
//			// retention has removed what was below first
//		} else {
//			offset, _ := stream.Offset(msg)
//			apply(offset, msg.Payload)
//		}
//		msg.Ack()
//	}
//
//	w := stream.NewWriter(log, stream.Ownership, stream.WithBudget(budget))
//	err := w.Append(id, data)
//	w.Seen(id) // when the reader meets the record first
//
// # Protocol
//
// POST /streams/{name} appends the body as one record and answers with an
// Appended in JSON. GET /streams/{name}?from=N&wait=2s&max=K answers with a
// Batch in CBOR, at once when there are records from N on and otherwise after
// at most wait. Offsets count from 1; from=0 stands for the first record that
// is kept. Status 410 with a Gone in JSON means that N is below that record,
// 413 that a record is too large, 429 that the append rate is exceeded and
// 503 that the log is down. Only 2xx answers mean that a record was appended.
package stream
