package e2e

import (
	"errors"
	"fmt"
	"testing"
	"time"

	fleetview "mulberryscale.example/fleet"
	"mulberryscale.example/platform/operator"
)

// In the worlds of some seeds batch routes are split over two services, one of which has a single engine; each
// version of the configuration draws other weights. Once, what was accepted for that service was left to it, whether
// its engine or its agent was lost, or all its engine could do was not enough.

// serviceEnginesNew is the service with a single engine, that of the agent splitAgent.
const (
	serviceEnginesNew = "engines-new"
	splitAgent        = 50
)

// splitWeights are the weights of serviceEngines and serviceEnginesNew, by the configuration's version.
var splitWeights = [][2]float64{{1, 1}, {2, 1}, {1, 0}, {0, 1}}

// splitsRoutes reports whether batch routes of a seed are split. The seeds of KNOWN-RED.txt draw from fewer kinds.
func splitsRoutes(seed uint64, kinds int) bool { return kinds == len(soakFaults) && seed%4 == 2 }

// splitRoutes splits the batch routes of a configuration.
func splitRoutes(config *fleetview.Config, weights [2]float64) {
	config.Services = append(config.Services, fleetview.Service{Name: serviceEnginesNew, MaxConns: 200, Models: soakModels})
	for i := range config.Routes {
		if r := &config.Routes[i]; r.Kind == fleetview.KindBatch {
			r.Backends = []fleetview.Backend{{Service: serviceEngines, Weight: weights[0]}, {Service: serviceEnginesNew, Weight: weights[1]}}
		}
	}
}

// modelService returns the service of the engine beside an agent.
func (w *soakWorld) modelService(agent int) string {
	if w.split && agent == splitAgent {
		return serviceEnginesNew
	}
	return serviceEngines
}

// modelServices returns the services that may run items.
func (w *soakWorld) modelServices() []string {
	if w.split {
		return []string{serviceEngines, serviceEnginesNew}
	}
	return []string{serviceEngines}
}

// checkJobWithoutItsAgent has a job accepted for the service with a single engine, loses its agent for good while its
// items run there, and checks that all items are listed all the same.
func (w *soakWorld) checkJobWithoutItsAgent(name string) {
	w.configureSplit([2]float64{1, 1})
	t := &soakTrainer{soakClient: w.client("split-trainer-" + name), model: soakModels[0]}
	j := &soakJob{id: w.idDrawnFor(serviceEnginesNew, "job-split-"+name), organisation: t.organisation, minVersion: 1}
	groups := burstGroups("split-" + name)
	body := t.encodeJob(j, 0, groups)
	w.record.addJob(j)
	if !t.submit(w.t.Context(), j, body, groups) {
		w.record.problem("job %s: not accepted", j.id)
		return
	}
	lost := w.agents[0]
	eventually(w.t, "items run at the service with a single engine", func() error {
		lost.engine.mu.Lock()
		defer lost.engine.mu.Unlock()
		if lost.engine.running == 0 {
			return errors.New("none runs there")
		}
		return nil
	})
	lost.mu.Lock()
	defer lost.mu.Unlock()
	w.note("kill %s for good", lost.name)
	lost.process.kill()
	w.record.count("jobs without their agent")
	eventually(w.t, "all items are listed without their service's agent", func() error { return t.readAll(w.t.Context(), t.entry(), j) })
	w.startAgain(lost)
	t.endJob(j)
}

// idDrawnFor returns an id, with a prefix, of a job that the weights give to a service. They are those of
// configureSplit.
func (w *soakWorld) idDrawnFor(service, prefix string) string {
	config := soakConfig(1, serviceDesk)
	splitRoutes(config, [2]float64{1, 1})
	config.Index()
	route := config.Match(soakHost, "/"+soakModels[0]+"/")
	for n := 0; ; n++ {
		if id := fmt.Sprintf("%s-%d", prefix, n); route.Backend(id) == service {
			return id
		}
	}
}

// configureSplit writes a configuration with given weights and waits until it is in force.
func (w *soakWorld) configureSplit(weights [2]float64) {
	w.mu.Lock()
	w.config++
	config := soakConfig(uint64(w.config), serviceDesk)
	w.mu.Unlock()
	splitRoutes(config, weights)
	row, err := operator.ConfigRow(config)
	w.write(w.t.Context(), row, err)
	time.Sleep(soakConfigTime)
}

// soakConfigTime is within which a configuration is in force everywhere.
const soakConfigTime = 2 * time.Second

// TestJobWithoutItsAgentIsDone guards against accepted jobs that nobody runs since the only agent of their service is
// lost, without any other fault.
func TestJobWithoutItsAgentIsDone(t *testing.T) {
	w := startSoakWith(t, 2, soakVariant{split: true})
	w.checkJobWithoutItsAgent("calm")
	for _, p := range w.record.problems {
		t.Error(p)
	}
	t.Log(w.record.summary())
}
