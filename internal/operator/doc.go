// Package operator holds the messages between an operator's command line and the
// operators' address of an entry instance, and the client for them.
//
//	client := operator.Client{Address: "127.0.0.1:9080"}
//	result, err := client.Send(ctx, operator.Command{ID: id, PresetUse: "peak"})
package operator
