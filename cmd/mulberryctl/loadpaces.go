package main

import (
	"context"
	"fmt"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"mulberryscale.example/fleet"
	"mulberryscale.example/loadview"
	"mulberryscale.example/pace"
	"mulberryscale.example/platform/operator"
	"mulberryscale.example/store"
)

// storedPaces reads the paces of the engines from the store that --store names.
func storedPaces(ctx context.Context, cmd *cli.Command) ([]loadview.Engine, error) {
	client, err := openMetastore(cmd)
	if err != nil {
		return nil, err
	}
	return readPaces(ctx, client)
}

// readPaces returns the paces of the engines from the store: none if no engine reports its pace,
// otherwise one of each registered engine and of each row.
func readPaces(ctx context.Context, rows store.Rows) ([]loadview.Engine, error) {
	paces, err := rows.List(ctx, store.Range{Table: pace.TablePaces})
	if err != nil {
		return nil, trace.Wrap(err, "read the paces of the engines")
	}
	if len(paces.Rows) == 0 {
		return nil, nil
	}
	listed, err := rows.List(ctx, store.Range{Table: operator.TableInstances})
	if err != nil {
		return nil, trace.Wrap(err, "read the instances")
	}
	registered := map[string]fleet.Instance{}
	for _, row := range listed.Rows {
		// Rows of other writers may be unusable; mulberryctl engines shows them.
		if i, err := operator.DecodeInstance(row.Name, row.Value); err == nil && len(i.Versions) > 0 {
			registered[i.Addr] = i
		}
	}
	var engines []loadview.Engine
	known := map[string]bool{}
	for _, row := range paces.Rows {
		known[row.Name] = true
		engines = append(engines, engineOf(row, registered, paces.Now.Seconds()))
	}
	for address, i := range registered {
		if !known[address] {
			engines = append(engines, loadview.Engine{Address: address, Service: i.Service})
		}
	}
	return engines, nil
}

// engineOf returns the pace in a row, with the reason why processes ignore it.
func engineOf(row store.Row, registered map[string]fleet.Instance, now float64) loadview.Engine {
	e := loadview.Engine{Address: row.Name}
	r, err := pace.DecodeRow(row.Value)
	if err != nil {
		return e
	}
	e.Pace, e.Spread, e.AgeSeconds = r.Pace, r.Spread, now-r.At.Seconds()
	maxAge := pace.MaxAge(len(registered))
	i, ok := registered[row.Name]
	e.Service = i.Service
	switch {
	case !ok:
		e.Ignored = "not registered"
	case e.AgeSeconds > maxAge.Seconds():
		e.Ignored = fmt.Sprintf("older than %.0f s", maxAge.Seconds())
	case r.StartedAt != 0 && i.StartedAt != 0 && r.StartedAt != i.StartedAt:
		e.Ignored = "of a former start"
	}
	return e
}
