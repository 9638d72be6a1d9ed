package fake

import "time"

// Lagged keeps the versions of a value, so that it can be read as it was some
// time ago. The zero value is empty.
type Lagged[T any] struct {
	versions []version[T]
}

type version[T any] struct {
	at    time.Time
	value T
}

// Set adds a version and forgets those that nobody who reads at keep or later
// will see.
func (l *Lagged[T]) Set(now time.Time, value T, keep time.Time) {
	l.versions = append(l.versions, version[T]{at: now, value: value})
	drop := 0
	for drop+1 < len(l.versions) && !l.versions[drop+1].at.After(keep) {
		drop++
	}
	l.versions = l.versions[drop:]
}

// At returns the newest version that is not younger than the time, or the
// zero value.
func (l *Lagged[T]) At(t time.Time) T {
	var found T
	for _, v := range l.versions {
		if v.at.After(t) {
			break
		}
		found = v.value
	}
	return found
}
