// Package formation decides which workers form groups, which groups to open,
// close or replace, and which spare workers load weights in advance.
//
// A decision is a pure function of the reports of one data centre's workers. No
// other state has to survive a change of keeper, since the next keeper starts
// from the same reports. Two keepers that decide at the same time are safe too,
// because Decide follows the first three of these rules and its caller the last:
//
//   - Each new group has a unique name, so a name and an epoch identify one list
//     of members.
//   - A head is opened only after every member was seen ready under the group's
//     name and epoch.
//   - A worker leaves its group before it joins another. It is ordered to leave
//     only after the head has left, is broken or is given up. A head that still
//     runs but can't be reached makes no progress without its members.
//   - Each order carries the number of orders that the worker has begun. The
//     worker refuses an order that arrives late or was based on an older report.
//
// As a result, an order to open a head and an order to dissolve its group carry
// the same count of the head, so only one of them is carried out.
package formation

//go:generate go tool stringer -type=Operation
