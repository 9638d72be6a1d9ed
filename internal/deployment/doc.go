// Package deployment starts a whole deployment in one process: the platform's
// stand-in, model workers, plain services and entry instances, all on loopback.
//
//	d, err := deployment.Start(ctx, deployment.Plan{DataCentres: []string{"a", "b"}}, logger)
//	if err != nil {
//		return err
//	}
//	defer d.Stop()
package deployment
