// Package operator defines the messages of the operators' API of an entry instance and
// implements its client, which the command line uses.
//
//	client := operator.Client{Address: "127.0.0.1:9080"}
//	result, err := client.Send(ctx, operator.Command{ID: id, PresetUse: "peak"})
package operator
