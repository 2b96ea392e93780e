package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	fleetview "mulberryscale.example/fleet"
	"mulberryscale.example/platform/ingress"
	"mulberryscale.example/platform/operator"
)

// soakOrganisations are the deployment's. Each has a key that it keeps and one
// that every configuration changes.
var soakOrganisations = []string{"guthi", "trust"}

func keptKey(organisation string) string { return "secret-kept-" + organisation }

func changedKey(organisation string, version int) string {
	return fmt.Sprintf("secret-%s-%d", organisation, version)
}

func organisationsOf(version int) (list []fleetview.Organisation) {
	for _, name := range soakOrganisations {
		list = append(list, fleetview.Organisation{Name: name, Keys: []fleetview.APIKey{
			fleetview.APIKey(keptKey(name)), fleetview.APIKey(changedKey(name, version)),
		}})
	}
	return list
}

// otherThan is an organisation that is not this one.
func otherThan(organisation string) string {
	if organisation == soakOrganisations[0] {
		return soakOrganisations[1]
	}
	return soakOrganisations[0]
}

// strange sends requests with a key that no configuration ever had, until ctx
// ends: none may run.
func (c *soakClient) strange(ctx context.Context) {
	for ctx.Err() == nil {
		c.next++
		id := fmt.Sprintf("%s-%d", c.name, c.next)
		status, _ := c.call(ctx, ingress.Attempt{
			Entry: c.entry(), ID: id, Method: http.MethodGet, Target: prefixLook + id, Key: "secret-nobody", ClaimedOrganisation: soakOrganisations[0],
		})
		switch status {
		case 0, http.StatusUnauthorized, http.StatusServiceUnavailable:
		default:
			c.w.record.problem("request %s with an unknown key: %d", id, status)
		}
		c.w.record.count("requests with unknown keys")
		sleep(ctx, 10*soakPause)
	}
}

// pry asks for a job with another organisation's key: nothing of it is shown.
func (c *soakClient) pry(ctx context.Context, j *soakJob) {
	for _, target := range []string{ingress.ResultsTarget(j.id, 0), ingress.BodyTarget(j.id, j.items[0])} {
		status, _ := c.call(ctx, ingress.Attempt{
			Entry: c.entry(), ID: j.id, Method: http.MethodGet, Target: target, Key: keptKey(otherThan(j.organisation)),
		})
		if status == http.StatusOK {
			c.w.record.problem("job %s of %s: shown to %s", j.id, j.organisation, otherThan(j.organisation))
		}
	}
}

// settleKeys checks that the newest keys serve at every entry and that those
// which were withdrawn do not.
func (w *soakWorld) settleKeys() {
	c := w.client("keyholder")
	w.mu.Lock()
	version := w.config
	w.mu.Unlock()
	for _, e := range w.entries {
		for _, organisation := range soakOrganisations {
			for key, want := range map[string]int{
				changedKey(organisation, version): http.StatusOK, changedKey(organisation, version-1): http.StatusUnauthorized,
			} {
				eventually(w.t, fmt.Sprintf("%s answers %d to a key of %s", e.name, want, organisation), func() error {
					c.next++
					id := fmt.Sprintf("%s-%d", c.name, c.next)
					w.record.send(id, &request{
						method: http.MethodGet, target: prefixLook + id, services: w.allowed(prefixLook), organisation: organisation,
					})
					if status, _ := c.call(w.t.Context(), ingress.Attempt{Entry: e.front, ID: id, Method: http.MethodGet, Target: prefixLook + id, Key: key}); status != want {
						return fmt.Errorf("status %d", status)
					}
					return nil
				})
			}
		}
	}
}

func containsSecret(text string) bool { return strings.Contains(text, "secret-") }

// checkSecrets looks for keys in what the processes logged and wrote to the store.
func (w *soakWorld) checkSecrets() {
	for _, m := range append(w.entries, w.agents...) {
		if log := m.process.log.String(); containsSecret(log) {
			w.record.problem("%s logged a key", m.name)
		}
	}
	for _, row := range w.store.rows.All() {
		if row.Table != operator.TableOperator && containsSecret(row.Name+string(row.Value)) {
			w.record.problem("a key stands in table %s", row.Table)
		}
	}
}
