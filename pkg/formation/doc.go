// Package formation decides which workers form groups, which groups open, close
// and are formed anew, and which spare workers get weights ahead of need.
//
// A decision is a pure function of what the workers of one data centre report.
// Nothing else has to last: another instance that takes over starts from the
// same reports. Two instances that decide at once do no harm either, because of
// three rules that Decide keeps and one that its caller keeps:
//
//   - a group's name is new each time, so that a name and an epoch stand for one
//     list of members;
//   - a head is opened only after all members were seen ready under its name and epoch;
//   - a worker leaves its group before it joins another, and it is told to only
//     once the head has left, has broken, or is given up: a head that lives and
//     is only cut off stands still from then on;
//   - every order names the number of orders that its worker has begun, so that
//     an order that is carried out late, or was decided on an older report, is refused.
//
// With them, an order to open a head and an order that takes the group apart
// both name the head's count, and only one of the two is carried out.
package formation

//go:generate go tool stringer -type=Operation
