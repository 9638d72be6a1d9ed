package capacity

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/pkg/limit"
)

// message is a message or an answer between two entry instances about limits. It is
// sent as JSON.
type message struct {
	From      limit.Member
	Requests  []limit.LoanRequest `json:",omitempty"`
	Replies   []limit.LoanReply   `json:",omitempty"`
	Returns   []limit.Return      `json:",omitempty"`
	Statement *limit.Statement    `json:",omitempty"`
}

func decode(data []byte) (message, error) {
	var m message
	err := json.Unmarshal(data, &m)
	return m, errors.Wrap(err, "decode message about limits")
}
