// Package poison finds the parts of prompts that crash backend servers, so that requests
// with such a part are refused before they crash more.
//
// When a server crashes, all its requests fail. A Board counts, for each shared part of
// their prompts, the crashes in which the answer to a request with that part had just
// begun. An answer that goes on, to any request with the part, clears it. A part is
// blocked when enough crashes, of more than one request, follow each other without such
// an answer while other requests to the same model are answered.
//
// Requests with the part may arrive at any instance, so that each alone sees few of the
// crashes. Instances exchange Reports, which may arrive late, repeatedly and out of order:
//
//	var board poison.Board
//	board.NoteCrash(time.Now(), "server-1", poison.Request{ID: "r1", Model: "draft", Parts: []string{"5c1e07a2"}})
//	peer.Merge(time.Now(), board.Reports(time.Now()))
//	if block, blocked := peer.Blocked(time.Now(), []string{"5c1e07a2"}); blocked {
//		// refuse the request until block.Until
//	}
package poison
