package main

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"mulberryscale.example/daemon"
	"mulberryscale.example/platform/operator"
	"mulberryscale.example/store"
)

// engineLine is the JSON of an instance.
type engineLine struct {
	ID       string            `json:"id"`
	Service  string            `json:"service"`
	Address  string            `json:"address"`
	Zone     string            `json:"zone"`
	Slots    int               `json:"slots"`
	Draining bool              `json:"draining"`
	Versions map[string]uint64 `json:"versions"`
	// Behind lists the models of which the engine has an older version than the named one.
	Behind []string `json:"behind"`
	// Unusable is the reason why the row is no usable instance.
	Unusable string `json:"unusable,omitempty"`
}

func showEngines(ctx context.Context, cmd *cli.Command) error {
	client, err := openMetastore(cmd)
	if err != nil {
		return err
	}
	engines, err := readEngines(ctx, client)
	if err != nil {
		return err
	}
	out := daemon.Table{Header: []string{"ID", "SERVICE", "ADDRESS", "ZONE", "SLOTS", "STATE", "VERSIONS", "BEHIND"}}
	for _, e := range engines {
		state := "ready"
		switch {
		case e.Unusable != "":
			state = "unusable: " + e.Unusable
		case e.Draining:
			state = "draining"
		}
		out.Rows = append(out.Rows, []string{
			e.ID, e.Service, e.Address, e.Zone, fmt.Sprint(e.Slots), state, versionsText(e.Versions), strings.Join(e.Behind, ","),
		})
	}
	return write(cmd, out, engines)
}

func versionsText(versions map[string]uint64) string {
	var parts []string
	for model, version := range versions {
		parts = append(parts, fmt.Sprintf("%s=%d", model, version))
	}
	slices.Sort(parts)
	return strings.Join(parts, ",")
}

func readEngines(ctx context.Context, rows store.Rows) ([]engineLine, error) {
	_, named, err := readOperatorTable(ctx, rows)
	if err != nil {
		return nil, err
	}
	s, err := rows.List(ctx, store.Range{Table: operator.TableInstances})
	if err != nil {
		return nil, trace.Wrap(err, "read the instances")
	}
	engines := []engineLine{}
	for _, row := range s.Rows {
		i, err := operator.DecodeInstance(row.Name, row.Value)
		if err != nil { // another process wrote the row; the other rows stay valid
			engines = append(engines, engineLine{ID: row.Name, Behind: []string{}, Unusable: err.Error()})
			continue
		}
		line := engineLine{
			ID: i.ID, Service: i.Service, Address: i.Addr, Zone: i.Zone, Slots: i.Slots, Draining: i.Draining,
			Versions: i.Versions, Behind: []string{},
		}
		for model, version := range i.Versions {
			if version < named[model] {
				line.Behind = append(line.Behind, model)
			}
		}
		slices.Sort(line.Behind)
		engines = append(engines, line)
	}
	slices.SortFunc(engines, func(a, b engineLine) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Address, b.Address))
	})
	return engines, nil
}
