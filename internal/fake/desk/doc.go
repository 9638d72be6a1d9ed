// Package desk is a stand-in for a plain service, such as an order desk or an admin
// desk. It counts the runs of each idempotency key and does not drop duplicates, which
// is the task of the system under test.
//
//	d := desk.New(desk.Config{Name: "orders-1"})
//	err := d.Start(ctx, "127.0.0.1:0")
//	...
//	for key, runs := range d.Counts().Runs {
//		// runs is above 1 for a call that ran twice
//	}
package desk
