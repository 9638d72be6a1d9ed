package journal_test

import (
	"encoding/json"
	"fmt"

	"github.com/chicorystall/chicorystall/pkg/journal"
)

func ExampleRecord_Encode() {
	record := journal.Record{
		Format: 1, ID: "5f0c", Kind: "PresetUse", Presumes: 7, Writer: "ana",
		Body: json.RawMessage(`{"Name":"peak"}`),
	}
	data, err := record.Encode()
	fmt.Println(string(data), err)
	// Output:
	// {"Format":1,"ID":"5f0c","Kind":"PresetUse","Presumes":7,"Writer":"ana","Body":{"Name":"peak"}} <nil>
}
