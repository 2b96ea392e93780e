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

// soakOrganisations are the deployment's organisations. Each has a permanent key and one
// that every configuration version replaces.
var soakOrganisations = []string{"guthi", "trust"}

func permanentKey(organisation string) string { return "secret-kept-" + organisation }

func rotatedKey(organisation string, version int) string {
	return fmt.Sprintf("secret-%s-%d", organisation, version)
}

func organisationsOf(version int) (list []fleetview.Organisation) {
	for _, name := range soakOrganisations {
		list = append(list, fleetview.Organisation{Name: name, Keys: []fleetview.APIKey{
			fleetview.APIKey(permanentKey(name)), fleetview.APIKey(rotatedKey(name, version)),
		}})
	}
	return list
}

// otherOrganisation returns the organisation that is not this one.
func otherOrganisation(organisation string) string {
	if organisation == soakOrganisations[0] {
		return soakOrganisations[1]
	}
	return soakOrganisations[0]
}

// sendUnknownKeys sends requests with a key that no configuration ever had, until ctx
// is cancelled. None may run.
func (c *soakClient) sendUnknownKeys(ctx context.Context) {
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
		sleep(ctx, 10*soakCallInterval)
	}
}

// readWithForeignKey asks for a job's results and a body with another organisation's key,
// which must be refused.
func (c *soakClient) readWithForeignKey(ctx context.Context, j *soakJob) {
	for _, target := range []string{ingress.ResultsTarget(j.id, 0), ingress.BodyTarget(j.id, j.items[0])} {
		status, _ := c.call(ctx, ingress.Attempt{
			Entry: c.entry(), ID: j.id, Method: http.MethodGet, Target: target, Key: permanentKey(otherOrganisation(j.organisation)),
		})
		if status == http.StatusOK {
			c.w.record.problem("job %s of %s: readable by %s", j.id, j.organisation, otherOrganisation(j.organisation))
		}
	}
}

// checkKeyRotation checks that every entry accepts the newest keys and rejects the
// previous ones.
func (w *soakWorld) checkKeyRotation() {
	c := w.client("keyholder")
	w.mu.Lock()
	version := w.config
	w.mu.Unlock()
	for _, e := range w.entries {
		for _, organisation := range soakOrganisations {
			for key, want := range map[string]int{
				rotatedKey(organisation, version): http.StatusOK, rotatedKey(organisation, version-1): http.StatusUnauthorized,
			} {
				eventually(w.t, fmt.Sprintf("%s answers %d to a key of %s", e.name, want, organisation), func() error {
					c.next++
					id := fmt.Sprintf("%s-%d", c.name, c.next)
					w.record.requestSent(id, &request{
						method: http.MethodGet, target: prefixLook + id, services: w.allowedServices(prefixLook), organisation: organisation,
					})
					if status, _ := c.call(w.t.Context(), ingress.Attempt{Entry: e.clientAddr, ID: id, Method: http.MethodGet, Target: prefixLook + id, Key: key}); status != want {
						return fmt.Errorf("status %d", status)
					}
					return nil
				})
			}
		}
	}
}

func containsSecret(text string) bool { return strings.Contains(text, "secret-") }

// checkSecrets checks that the processes wrote no key to their logs or to the store.
func (w *soakWorld) checkSecrets() {
	for _, m := range append(w.entries, w.agents...) {
		if log := m.process.log.String(); containsSecret(log) {
			w.record.problem("%s logged a key", m.name)
		}
	}
	for _, row := range w.store.rows.All() {
		if row.Table != operator.TableOperator && containsSecret(row.Name+string(row.Value)) {
			w.record.problem("table %s contains a key", row.Table)
		}
	}
}
