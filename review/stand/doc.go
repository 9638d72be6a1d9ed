// Command stand runs one case of the review: it starts entry instances as separate
// processes, with stand-ins of the store, the workers and the clients, and checks one rule
// by what these see.
//
//	stand -case NAME -dir review/N
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. With
// TROUBLE=0 in the environment, the case runs without its disruption.
package main
