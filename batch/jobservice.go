package batch

import (
	"slices"

	"mulberryscale.example/fleet"
)

// A job belongs to its route. It runs on the engines of the service that the route's weights gave it when it was
// accepted, as long as that service has engines and agents: the engines of a split route keep their shares. When it
// has none left, the job runs on the engines of another service that its route names by then. All agents decide so
// from the same configuration and list of instances, and each from the agents that it has found silent.

// currentService returns the service whose engines run a job now.
func (w *Worker) currentService(job *Job, snap *fleet.Snapshot) string {
	runs := func(service string) bool { return snap.HasInstances(service) && !w.lostServices.has(service) }
	if !snap.Listed || runs(job.Service) {
		return job.Service
	}
	route := routeOf(job, snap.Config)
	if route == nil {
		return job.Service
	}
	usable := func(service string) bool { return runs(service) && servesModel(snap.Config, service, job.Model) }
	if service, ok := route.BackendAmong(job.ID, usable); ok {
		return service
	}
	return job.Service
}

// possibleServices returns the services whose engines may run a job: the one for which it was accepted, and those
// to which its route sends jobs now and that serve its model.
func possibleServices(job *Job, config *fleet.Config) []string {
	services := []string{job.Service}
	route := routeOf(job, config)
	if route == nil {
		return services
	}
	for _, b := range route.Backends {
		if b.Weight > 0 && b.Service != job.Service && servesModel(config, b.Service, job.Model) {
			services = append(services, b.Service)
		}
	}
	return services
}

// mayRunOn reports whether the engines of a service may run a job.
func mayRunOn(job *Job, config *fleet.Config, service string) bool {
	return slices.Contains(possibleServices(job, config), service)
}

// routeOf returns the route that takes a job's submissions now; nil if there is none any more.
func routeOf(job *Job, config *fleet.Config) *fleet.Route {
	if config == nil || job.Prefix == "" {
		return nil
	}
	route := config.Match(fleet.HostName(job.Host), job.Prefix)
	if route == nil || route.Kind != fleet.KindBatch {
		return nil
	}
	return route
}

// servesModel reports whether the engines of a service load a model; any serve a job without one.
func servesModel(config *fleet.Config, service, model string) bool {
	s := config.Service(service)
	return s != nil && (model == "" || slices.Contains(s.Models, model))
}

// adoptJobs adds the jobs of other services that this worker's service runs now to those known here. They stay
// known here when their own service has engines again, since items of theirs may be held here.
func (w *Worker) adoptJobs() {
	w.mu.Lock()
	defer w.mu.Unlock()
	snap := w.View.Snapshot()
	if snap == w.foreignChecked {
		return
	}
	w.foreignChecked = snap
	for _, job := range w.foreign {
		if w.currentService(job, snap) == w.Service {
			w.adopt(job)
		}
	}
}

// adoptOffered is adoptJobs for one job, whose items another agent offers to this one: that agent knows sooner than
// the list of instances that its service has no engine left.
func (w *Worker) adoptOffered(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	job, ok := w.foreign[id]
	if ok && mayRunOn(job, w.View.Snapshot().Config, w.Service) {
		w.adopt(job)
	}
}

// adopt moves a job of another service to those known here. It is called with w.mu held.
func (w *Worker) adopt(job *Job) {
	delete(w.foreign, job.ID)
	w.open(job)
	w.jobLogger(job).WithField("service", job.Service).Info("job of another service adopted")
}
