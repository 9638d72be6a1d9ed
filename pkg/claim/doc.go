// Package claim runs a non-idempotent request at most once among many
// processes. The only agreement is the order of an append-only log.
//
// A request carries a key, a UUID of version 7. Before a process writes the
// request to a backend server, it appends a claim for the key to a stream of the
// log, reads the stream back, and goes on only if its claim is the first one.
// Leases and clocks take no part, so pauses of any length do no harm.
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
// The package has a pure part, Shard, which folds one stream, and an I/O part,
// Claimant, which appends, reads and asks other claimants.
//
// # What an answer means
//
// Begin speaks about the key, with the log read up to the claim. An
// UnavailableError speaks only about this attempt: it never runs, but an earlier
// attempt of the same key may have run. So it is "not run" for the first attempt
// of a key and "unknown" for each later one.
//
// # While the log is away
//
// Begin refuses. The other way is to let an entry instance mint keys beforehand
// and be their only sender, with its memory in place of the log. The simulation
// measure.ClaimOutage compares both in an outage of 10 minutes with callers who
// wait a minute: claims on the log run 0.09 of the orders and refuse the others,
// minted keys run nearly all. But a minted key has to be fetched before the
// order, can be sent only through one process, and is unknown for good when that
// process ends during an order. Callers who wait for the outage to end lose
// nothing by claims on the log, so this package has no minted keys yet; they would
// be an addition, with the same records once the log is back.
package claim
