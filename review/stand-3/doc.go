// Command stand-3 plays the cases 11 to 15 of the review: it starts entry instances as
// processes of their own, stand-ins for the platform's store, the workers and the clients,
// and judges what these have seen.
//
//	stand-3 -case poisoned -program target/chicorystall -record record.txt
//
// With TROUBLE=0 in the environment the same is played without the disruption. The exit code
// is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main
