// Package deployment starts a whole deployment in one process: stand-ins of the
// platform, of model workers and of plain services, and real entry instances, all on
// loopback.
//
//	d, err := deployment.Start(ctx, deployment.Plan{DataCentres: []string{"a", "b"}}, logger)
//	if err != nil {
//		return err
//	}
//	defer d.Stop()
package deployment
