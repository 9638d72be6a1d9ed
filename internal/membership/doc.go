// Package membership keeps the list of the live entry instances. It runs a
// member.Table over the calls between entry instances: heartbeats inside the data
// centre, and regular Hello calls to a few instances of each other data centre.
//
//	service := membership.New(membership.Options{Self: self, Client: client})
//	go service.Run(ctx)
//	for _, row := range service.Alive() {
//		fmt.Println(row.Name, row.Address)
//	}
package membership
