package fake

import "time"

// Lagged keeps past versions of a value, so that readers can see the value as it
// was at an earlier time. The zero value is empty.
type Lagged[T any] struct {
	versions []version[T]
}

type version[T any] struct {
	at    time.Time
	value T
}

// Set adds a version with the time now, and drops the versions that no read at
// oldestRead or later returns.
func (l *Lagged[T]) Set(now time.Time, value T, oldestRead time.Time) {
	l.versions = append(l.versions, version[T]{at: now, value: value})
	drop := 0
	for drop+1 < len(l.versions) && !l.versions[drop+1].at.After(oldestRead) {
		drop++
	}
	l.versions = l.versions[drop:]
}

// At returns the value as of t, which is that of the newest version set at t or
// before, or the zero value if there is none.
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
