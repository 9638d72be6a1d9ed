// Package claim runs a non-idempotent request at most once among many processes. The
// processes coordinate only through the order of entries in an append-only log.
//
// A request carries a key, a UUID of version 7. Before a process writes the request to a
// backend server, it appends a claim for the key to a stream of the log, reads the stream
// back, and continues only if its claim is the first one. This uses no leases and no
// clocks of the processes, so it stays correct if a process is paused for any time.
//
//	claimant := &claim.Claimant{ID: "entry-1/5f0c", Log: log}
//	go claimant.Run(ctx)
//
//	decision, err := claimant.Begin(ctx, key, claim.DigestOf(body))
//	if err != nil {
//		return err // this attempt never runs, see UnavailableError
//	}
//	switch decision.Kind {
//	case claim.Run:
//		if err := decision.Grant.Use(); err != nil {
//			return err
//		}
//		answer, err := send(body)
//		if err != nil {
//			return decision.Grant.Abandon(ctx, err.Error())
//		}
//		return decision.Grant.Complete(ctx, answer)
//	case claim.Replay:
//		return write(decision.Answer)
//	}
//
// [Shard] is the pure part of the package: a state machine that applies the entries of
// one stream. [Claimant] does the I/O: it appends, reads and asks other claimants.
//
// # Outcomes
//
// The Decision of Begin is about the key, as of the log up to the claim. An
// UnavailableError is only about this attempt: it never runs, but an earlier attempt of
// the same key may have run. So the outcome is NotRun for the first attempt of a key and
// Unknown for each later one.
//
// # Outages of the log
//
// Begin fails while the log is unavailable. The alternative is that an entry instance
// issues keys in advance (minted keys) and is the only one to send requests with them, so
// that its memory replaces the log. The simulation measure.ClaimOutage compares
// both in an outage of 10 minutes with callers who wait one minute: with claims on the
// log 0.09 of the requests run and the others are refused; with minted keys nearly all
// run. But a minted key must be fetched before the request and works only through one
// process, and its outcome stays unknown if that process ends during the request.
// Callers who wait until the outage is over lose nothing with claims on the log, so
// this package has no minted keys. They could be added, with the same records once the
// log is available again.
package claim
