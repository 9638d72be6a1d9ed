// Package desk is a stand-in of a plain service, such as an order desk or an
// admin desk. It counts every run by idempotency key and drops no duplicate:
// that is the job of the system before it.
//
//	d := desk.New(desk.Config{Name: "orders-1"})
//	err := d.Start(ctx, "127.0.0.1:0")
//	...
//	for key, runs := range d.Counts().Runs {
//		// runs is above 1 for a call that ran twice
//	}
package desk
