// Package member implements a gossip protocol for the entry instances. With it, each
// instance knows which others are alive.
//
// A Table does no input or output and reads no clock: it takes the time and the
// received messages, and returns the messages to send. In each interval an instance
// pings its successor on the ring of names and a random other member. Messages carry
// only changes, and checksums with which two instances find the changes that one of
// them missed. A member that doesn't answer becomes Suspect before it becomes Dead.
// A suspected member that receives its own status refutes the suspicion.
//
// An instance can publish small items, for example its view of backend servers. They
// are sent with the same messages. The newest version of an item wins.
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
