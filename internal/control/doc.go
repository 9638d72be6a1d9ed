// Package control runs the group controller of a data centre on the entry instance
// that holds its lease, and sends the controller's orders to the model engines.
//
//	controller := &control.Controller{Self: process, Placement: placement, Pool: pool}
//	go controller.Run(ctx)
package control
