package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"mulberryscale.example/api"
	"mulberryscale.example/daemon"
	"mulberryscale.example/settings"
)

// Flags of status and drain.
const (
	flagOperators = "operators"
	flagToken     = "admin-token"
	flagWait      = "wait"
)

const (
	maxResponseBytes = 16 << 20
	callTimeout      = 5 * time.Second
	waitInterval     = 500 * time.Millisecond
)

func operatorsFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name:     flagOperators,
			Usage:    "addresses of the processes' operator listeners, ip:port,...",
			Sources:  cli.EnvVars(settings.EnvName(flagOperators)),
			Required: true,
		},
		&cli.StringFlag{
			Name:        flagToken,
			Usage:       "operators' bearer token; better set in the environment",
			Sources:     cli.EnvVars(settings.EnvName(flagToken)),
			HideDefault: true,
		},
	}
}

// operatorClient calls the operator listeners of processes.
type operatorClient struct {
	addresses []string
	token     string
}

func newOperatorClient(cmd *cli.Command) (*operatorClient, error) {
	o := &operatorClient{token: cmd.String(flagToken)}
	for _, text := range strings.Split(cmd.String(flagOperators), ",") {
		addr, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return nil, daemon.Usagef("--%s: want ip:port, got %q", flagOperators, text)
		}
		o.addresses = append(o.addresses, addr.String())
	}
	return o, nil
}

// noProxyClient ignores the environment's proxies, which must not see the token.
var noProxyClient = &http.Client{Transport: &http.Transport{}}

// call makes one call and decodes the JSON response into v, unless v is nil.
func (o *operatorClient) call(ctx context.Context, method, addr, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	if o.token != "" {
		req.Header.Set("Authorization", "Bearer "+o.token)
	}
	resp, err := noProxyClient.Do(req)
	if err != nil {
		return trace.Wrap(err, "step operators.call, peer %s", addr)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return trace.Wrap(err, "step operators.call, peer %s", addr)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return responseError(addr, resp.Status, body)
	}
	if v == nil {
		return nil
	}
	return trace.Wrap(json.Unmarshal(body, v), "step operators.call, peer %s", addr)
}

// responseError returns the typed refusal in a response body, or else an error with its status.
func responseError(addr, status string, body []byte) error {
	var refusal api.ErrorBody
	if json.Unmarshal(body, &refusal) == nil && refusal.Error != nil {
		return refusal.Error
	}
	return fmt.Errorf("step operators.call, peer %s: %s", addr, status)
}

// callAll calls all listeners concurrently and joins their errors.
func (o *operatorClient) callAll(call func(i int, addr string) error) error {
	errs := make([]error, len(o.addresses))
	var all sync.WaitGroup
	for i, addr := range o.addresses {
		all.Go(func() { errs[i] = call(i, addr) })
	}
	all.Wait()
	return errors.Join(errs...)
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "make processes finish their current work, accept nothing new, and stop",
		Flags: operatorsFlags(),
		Action: withTimeout(func(ctx context.Context, cmd *cli.Command) error {
			if err := checkArgs(cmd, 0, 0); err != nil {
				return err
			}
			o, err := newOperatorClient(cmd)
			if err != nil {
				return err
			}
			err = o.callAll(func(_ int, addr string) error {
				return o.call(ctx, http.MethodPost, addr, daemon.PathDrain, nil)
			})
			if err != nil {
				return err
			}
			text := fmt.Sprintf("draining: %d processes", len(o.addresses))
			return write(cmd, daemon.Table{Rows: [][]string{{text}}}, map[string][]string{"draining": o.addresses})
		}),
	}
}

// statuses calls all listeners and merges their responses. The error joins those of
// the listeners that failed; the statuses of the others are returned with it.
func (o *operatorClient) statuses(ctx context.Context) ([]api.ProcessStatus, error) {
	answers := make([][]api.ProcessStatus, len(o.addresses))
	err := o.callAll(func(i int, addr string) error {
		return o.call(ctx, http.MethodGet, addr, api.PathStatus, &answers[i])
	})
	return mergeStatuses(answers), err
}

// mergeStatuses returns one status for each process, the most recent, sorted by role and id.
func mergeStatuses(answers [][]api.ProcessStatus) []api.ProcessStatus {
	newest := make(map[string]api.ProcessStatus)
	for _, answer := range answers {
		for _, p := range answer {
			known, ok := newest[p.ID]
			if !ok || p.SeenSeconds < known.SeenSeconds {
				newest[p.ID] = p
			}
		}
	}
	merged := make([]api.ProcessStatus, 0, len(newest))
	for _, p := range newest {
		merged = append(merged, p)
	}
	slices.SortFunc(merged, func(a, b api.ProcessStatus) int {
		if a.Role != b.Role {
			return strings.Compare(b.Role, a.Role) // entries before agents
		}
		return strings.Compare(a.ID, b.ID)
	})
	return merged
}
