package capacity

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/pkg/limit"
)

// message is what one entry instance sends another about limits.
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
	return m, errors.Wrap(err, "message about limits is not readable")
}
