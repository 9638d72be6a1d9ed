// Package spec holds Promela specifications of the coordination protocols. Its test
// checks each of them with spin: no assertion may fail with all guards, and one must
// fail if any guard is disabled.
package spec
