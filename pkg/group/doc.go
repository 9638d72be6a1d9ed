// Package group decides over the groups of one data centre.
//
// A Check says whether a group is whole: every member reports the group, its
// epoch, its model version and the boot ID that was assigned, freshly. Call
// Whole at the choice of a group and StillWhole on the response.
//
// A Controller compares the desired groups with the placement and with what the
// backend servers report, and returns the records to append and the orders to
// send. It is level-triggered: calling it again after any failure continues
// where the placement stands.
//
//	d := controller.Decide(input)
//	for _, r := range d.Records {
//		appendAndFold(r)
//	}
//	for _, o := range d.Orders {
//		go issuer.Issue(ctx, o)
//	}
//
// An Issuer sends each claimed order at most once and keeps what has to be
// recorded about its outcome.
package group
