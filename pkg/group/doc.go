// Package group manages the groups of one data centre.
//
// A Check reports whether a group is whole: every member has a recent report that
// names the group, its epoch, its model version and the assigned boot ID, and no
// member is loading or in quarantine. Call Whole before sending a request to a
// group and StillWhole when the response arrives.
//
// A Controller compares the desired groups with the placement and with the reports
// of the backend servers, and returns the records to append and the orders to send.
// It is level-triggered: each decision starts from the current placement, so after
// a failure it is enough to call Decide again.
//
//	d := controller.Decide(input)
//	for _, r := range d.Records {
//		appendAndApply(r)
//	}
//	for _, o := range d.Orders {
//		go issuer.Issue(ctx, o)
//	}
//
// An Issuer sends each claimed order at most once and keeps the records of the
// outcomes until they are on the log.
package group
