package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"mulberryscale.example/api"
	"mulberryscale.example/daemon"
	"mulberryscale.example/tablestore"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show which version of the table each process uses, and which processes lag",
		Description: "Lag is counted against the newest version that any process uses or, if --table-service is given\n" +
			"and answers, that the table service has.",
		Flags: append(operatorsFlags(), &cli.DurationFlag{
			Name:  flagWait,
			Usage: "wait up to this long until no process lags; exit status 1 if one still does",
		}),
		Action: withTimeout(runStatus),
	}
}

// fleetStatus is the JSON of status.
type fleetStatus struct {
	// Newest is the newest version known; processes with an older one lag.
	Newest uint64 `json:"newest"`
	// TableServiceError is set when the table service did not answer.
	TableServiceError string          `json:"table_service_error,omitempty"`
	Processes         []processResult `json:"processes"`
	Lagging           int             `json:"lagging"`
}

type processResult struct {
	api.ProcessStatus
	Lags bool `json:"lags"`
}

func runStatus(ctx context.Context, cmd *cli.Command) error {
	if err := checkArgs(cmd, 0, 0); err != nil {
		return err
	}
	o, err := newOperatorClient(cmd)
	if err != nil {
		return err
	}
	status, err := readFleetStatus(ctx, cmd, o)
	wait := cmd.Duration(flagWait)
	for deadline := time.Now().Add(wait); (err != nil || status.Lagging > 0) && time.Now().Before(deadline); {
		fmt.Fprintf(cmd.Root().ErrWriter, "waiting: %d of %d lag\n", status.Lagging, len(status.Processes))
		select {
		case <-ctx.Done():
			deadline = time.Time{}
		case <-time.After(waitInterval):
			status, err = readFleetStatus(ctx, cmd, o)
		}
	}
	if writeErr := printStatus(cmd, status); writeErr != nil {
		return writeErr
	}
	if err == nil && wait > 0 && status.Lagging > 0 {
		return fmt.Errorf("%d of %d processes lag behind version %d", status.Lagging, len(status.Processes), status.Newest)
	}
	return err
}

// readFleetStatus returns the statuses that it received even if some listeners did
// not answer; the error joins those of the listeners that failed.
func readFleetStatus(ctx context.Context, cmd *cli.Command, o *operatorClient) (fleetStatus, error) {
	processes, err := o.statuses(ctx)
	status := fleetStatus{Processes: []processResult{}}
	status.Newest, status.TableServiceError = readCurrentVersion(ctx, cmd)
	for _, p := range processes {
		status.Newest = max(status.Newest, p.TableVersion)
	}
	for _, p := range processes {
		lags := p.TableVersion < status.Newest
		if lags {
			status.Lagging++
		}
		status.Processes = append(status.Processes, processResult{p, lags})
	}
	return status, err
}

// readCurrentVersion reads the current version from the table service, if its address
// is set. Version 0 means unknown or none; problem is set if the read failed.
func readCurrentVersion(ctx context.Context, cmd *cli.Command) (version uint64, problem string) {
	if cmd.String(flagTableService) == "" {
		return 0, ""
	}
	store, err := openStore(cmd)
	if err != nil {
		return 0, daemon.OneLine(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := store.Current(ctx)
	if err != nil && !errors.Is(err, tablestore.ErrNoTable) {
		return 0, daemon.OneLine(err)
	}
	return entry.Version, ""
}

func printStatus(cmd *cli.Command, status fleetStatus) error {
	out := daemon.Table{Header: []string{"ID", "ROLE", "ZONE", "VERSION", "STATE", "TABLE SERVICE", "SEEN", "INCARNATION"}}
	for _, p := range status.Processes {
		out.Rows = append(out.Rows, []string{
			p.ID, p.Role, p.Zone, fmt.Sprint(p.TableVersion), stateText(p),
			ageText(p.AgeSeconds), ageText(p.SeenSeconds), p.Incarnation,
		})
	}
	out.Rows = append(out.Rows, []string{summaryText(status)})
	return write(cmd, out, status)
}

func stateText(p processResult) string {
	state := "in force"
	if p.Lags {
		state = "lags"
	}
	if p.Draining {
		state += ", draining"
	}
	return state
}

func summaryText(status fleetStatus) string {
	text := fmt.Sprintf("newest version %d, %d of %d processes lag", status.Newest, status.Lagging, len(status.Processes))
	if status.TableServiceError != "" {
		text += "; the table service did not answer: " + status.TableServiceError
	}
	return text
}

func ageText(seconds float64) string {
	if seconds < 0 {
		return "unknown"
	}
	return time.Duration(seconds * float64(time.Second)).Round(time.Second).String()
}
