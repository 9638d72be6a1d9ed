// Package poison finds the parts of prompts that crash backend servers, so that requests
// with such a part are refused before they crash more.
//
// When a server crashes, all its requests fail. A Board counts, for each shared part of
// their prompts, the crashes in which the answer to a request with that part had just
// begun, and remembers when an answer to a request with it last went on. Both are evidence:
//
//   - An answer clears a part of all crashes before it. An answer before the crashes leaves
//     the part suspected, but it takes more crashes to block it, and none in which there was
//     a part without any answer that was in crashes of other requests, too.
//   - Answers to other requests of the model during the crashes show that the servers run.
//     Without them, it takes more crashes, and there must be nearly none that are explained
//     neither by this part nor by one other: those would show another cause.
//   - Parts that were in the same crashes can't be told apart. Requests that have all of
//     them are refused. One with some of them is sent, and its end narrows the choice.
//
// A block ends with an answer to a request with the part, at any instance, or after a time.
// Then one request after the other is sent as a trial. If it crashes a server, the block
// begins again and lasts twice as long.
//
// Requests with the part may arrive at any instance, so that each alone sees few of the
// crashes. Instances exchange Reports, which may arrive late, repeatedly and out of order:
//
//	var board poison.Board
//	board.NoteCrash(time.Now(), "server-1", poison.Request{ID: "r1", Model: "draft", Parts: []string{"5c1e07a2"}})
//	peer.Merge(time.Now(), "instance-1", board.Reports(time.Now()))
//	if block, blocked := peer.Blocked(time.Now(), request); blocked {
//		// refuse the request until block.Until
//	}
package poison
