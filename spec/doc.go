// Package spec holds Promela specifications of the coordination protocols. Its
// test checks each with spin: as it is, no assertion may fail; with any guard
// switched off, the checker has to find a failing one.
package spec
