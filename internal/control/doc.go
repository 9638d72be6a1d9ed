// Package control runs the group controller of one data centre at the entry
// instance that holds the lease for it, and sends orders to model engines.
//
//	controller := &control.Controller{Self: process, Placement: placement, Pool: pool}
//	go controller.Run(ctx)
package control
