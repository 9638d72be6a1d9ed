// Package entry is the daemon of one entry instance: the callers' and
// operators' listeners, and the wiring of the coordination packages.
//
//	settings, err := entry.ReadSettings("entry-1.toml")
//	if err != nil {
//		return err
//	}
//	return entry.New(settings, logger).Run(ctx)
package entry
