package main

import (
	"context"
	"fmt"
	"net/netip"
	"strings"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"mulberryscale.example/daemon"
	"mulberryscale.example/fleet"
	"mulberryscale.example/platform/metastore"
	"mulberryscale.example/platform/operator"
	"mulberryscale.example/settings"
	"mulberryscale.example/store"
)

const (
	flagStore = "store"
	flagAll   = "all"
)

func storeFlag() cli.Flag {
	return &cli.StringFlag{
		Name: flagStore, Usage: "the platform's store, ip:port", Sources: cli.EnvVars(settings.EnvName(flagStore)),
	}
}

// jobsCommand, enginesCommand and configCommand return the commands that show the
// contents of the platform's store. They only read.
func jobsCommand() *cli.Command {
	return &cli.Command{
		Name: "jobs", Usage: "show the batch jobs in the platform's store that have not been ended",
		Flags: []cli.Flag{storeFlag(), &cli.BoolFlag{
			Name: flagAll, Usage: "include ended jobs; reads all their results",
		}},
		Action: withTimeout(showJobs),
	}
}

func enginesCommand() *cli.Command {
	return &cli.Command{
		Name: "engines", Usage: "show the registered engines and their weight versions",
		Flags:  []cli.Flag{storeFlag()},
		Action: withTimeout(showEngines),
	}
}

func configCommand() *cli.Command {
	return &cli.Command{
		Name: "config", Usage: "show the configuration in the platform's store",
		Flags:  []cli.Flag{storeFlag()},
		Action: withTimeout(showConfig),
	}
}

func openMetastore(cmd *cli.Command) (*metastore.Client, error) {
	if err := checkArgs(cmd, 0, 0); err != nil {
		return nil, err
	}
	addr := cmd.String(flagStore)
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return nil, daemon.Usagef("--%s or %s: want ip:port, got %q", flagStore, settings.EnvName(flagStore), addr)
	}
	return metastore.New(addr), nil
}

// readOperatorTable reads the configuration, nil if there is none, and the named
// weight version of each model.
func readOperatorTable(ctx context.Context, rows store.Rows) (*fleet.Config, map[string]uint64, error) {
	s, err := rows.List(ctx, store.Range{Table: operator.TableOperator})
	if err != nil {
		return nil, nil, trace.Wrap(err, "read the configuration")
	}
	var config *fleet.Config
	named := map[string]uint64{}
	for _, row := range s.Rows {
		if operator.IsConfig(row.Name) {
			if config, err = operator.DecodeConfig(row.Value); err != nil {
				return nil, nil, err
			}
			continue
		}
		model, version, ok, err := operator.DecodeNamedVersion(row.Name, row.Value)
		if err != nil {
			return nil, nil, err
		}
		if ok {
			named[model] = version
		}
	}
	return config, named, nil
}

// configResult is the JSON of the configuration.
type configResult struct {
	Version  uint64            `json:"version"`
	Routes   []routeLine       `json:"routes"`
	Versions map[string]uint64 `json:"weight_versions"`
	// Organisations holds the number of keys of each organisation, never the keys.
	Organisations []organisationLine `json:"organisations"`
}

type organisationLine struct {
	Name     string `json:"name"`
	Priority int    `json:"priority"`
	Keys     int    `json:"keys"` // number of keys
}

type routeLine struct {
	Name     string   `json:"name"`
	Host     string   `json:"host"`
	Prefix   string   `json:"prefix"`
	Kind     string   `json:"kind"`
	Services []string `json:"services"`
	Timeout  string   `json:"timeout"`
	// Anonymous is true if clients of the route need no key.
	Anonymous bool `json:"anonymous"`
}

func showConfig(ctx context.Context, cmd *cli.Command) error {
	client, err := openMetastore(cmd)
	if err != nil {
		return err
	}
	config, named, err := readOperatorTable(ctx, client)
	if err != nil {
		return err
	}
	if config == nil {
		return trace.NotFound("no configuration stands in the store yet")
	}
	result := configResult{Version: config.Version, Versions: named, Routes: []routeLine{}, Organisations: []organisationLine{}}
	out := daemon.Table{Header: []string{"ROUTE", "HOST", "PREFIX", "KIND", "SERVICES", "TIMEOUT"}}
	for _, r := range config.Routes {
		line := routeLine{Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: string(r.Kind), Timeout: r.Timeout.String(), Services: []string{}, Anonymous: r.Anonymous}
		for _, b := range r.Backends {
			line.Services = append(line.Services, b.Service)
		}
		result.Routes = append(result.Routes, line)
		out.Rows = append(out.Rows, []string{line.Name, line.Host, line.Prefix, line.Kind, strings.Join(line.Services, ","), line.Timeout})
	}
	for _, o := range config.Organisations {
		result.Organisations = append(result.Organisations, organisationLine{Name: o.Name, Priority: o.Priority, Keys: len(o.Keys)})
		out.Rows = append(out.Rows, []string{fmt.Sprintf("organisation %s, priority %d, keys: %d", o.Name, o.Priority, len(o.Keys))})
	}
	out.Rows = append(out.Rows, []string{fmt.Sprintf("configuration %d, weights %s", config.Version, versionsText(named))})
	return write(cmd, out, result)
}
