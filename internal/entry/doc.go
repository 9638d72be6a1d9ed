// Package entry implements the daemon of an entry instance. It listens for callers,
// operators and other entry instances, and connects the packages that coordinate
// the entry instances with each other.
//
//	settings, err := entry.ReadSettings("entry-1.toml")
//	if err != nil {
//		return err
//	}
//	return entry.New(settings, logger).Run(ctx)
package entry
