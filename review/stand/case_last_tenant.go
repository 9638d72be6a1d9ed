package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["last-tenant"] = lastTenant }

// lastTenant takes away the keys of the only tenant, by a configuration whose list of tenants is
// empty, and has a client go on with the old key, and another with a key that never was.
func lastTenant(ctx context.Context, e *env) ([]string, error) {
	const revokeTime = 5 * time.Second
	r := route{name: "order", kind: "unsafe", service: plainService, timeout: 1500 * time.Millisecond, objective: 300 * time.Millisecond, maxAttempts: 1}
	f, p, q, err := startDesk(ctx, e, r, 800, call{method: http.MethodPost, budget: 1500 * time.Millisecond, body: "print"})
	if err != nil {
		return nil, err
	}
	next := config(2, r)
	if e.trouble {
		next["tenants"] = []any{}
	}
	if err := e.putOperator("config", next); err != nil {
		return nil, err
	}
	time.Sleep(revokeTime + time.Second)
	var broken []string
	for n := range 10 {
		q.key = apiKey
		if n%2 == 1 {
			q.key = "key-that-never-was"
		}
		q.id = fmt.Sprintf("late-%d", n)
		c, err := dial(ctx, p.front)
		if err != nil {
			return nil, err
		}
		a := c.exchange(q, 5*time.Second, nil)
		c.close()
		ran := f.timesRun(q.id)
		e.record("client: %s with the key %s: %v; ran %d times", q.id, q.key, a, ran)
		switch {
		case ran > 0 && q.key != apiKey:
			broken = append(broken, fmt.Sprintf("ROUTE: %s ran, whose key %s no configuration ever held", q.id, q.key))
		case ran > 0 && e.trouble:
			broken = append(broken, fmt.Sprintf("CONFIG: %s ran %v after its key was taken away", q.id, revokeTime+time.Second))
		}
	}
	return broken, nil
}
