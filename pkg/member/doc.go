// Package member keeps each entry instance's view of which others are alive.
//
// A Table is pure: it takes the time and the messages that arrived, and returns
// the messages to send. Each interval an instance pings its next neighbour on
// the ring of names and a random other one. Messages carry only changes, and
// checksums by which two instances find what one of them missed. Silence makes
// a member suspect first, and a member that learns of it refutes the suspicion.
//
// An instance publishes small items, such as its view of backend servers, that
// travel with the messages. The newest version of an item wins.
//
//	t := member.New(member.Config{Self: row, Interval: time.Second, Rand: rand.IntN})
//	t.SetItem("Limits", value)
//	for _, m := range t.Tick(time.Now()) {
//		send(m.To, m)
//	}
//	for _, m := range t.Receive(time.Now(), arrived) {
//		send(m.To, m)
//	}
//	alive := t.Alive()
package member
