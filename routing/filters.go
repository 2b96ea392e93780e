package routing

import "mulberryscale.example/membership"

// Names of the filters.
const (
	FilterServing  = "serving"
	FilterHealthy  = "healthy"
	FilterReady    = "ready"
	FilterLeaving  = "leaving"
	FilterSuspect  = "suspect"
	FilterVersion  = "version"
	FilterExcluded = "excluded"
	FilterFree     = "free"
	FilterAccept   = "accept"
)

// Serving keeps agents whose endpoint serves the request's model or plain service.
type Serving struct{}

// Name implements Filter.
func (Serving) Name() string { return FilterServing }

// Keep implements Filter.
func (Serving) Keep(req *Request, a *membership.Agent) bool {
	if req.Service != "" {
		return a.Serves(req.Service)
	}
	_, ok := a.Model(req.Model)
	return ok
}

// Healthy keeps agents whose endpoint passes its health check.
type Healthy struct{}

// Name implements Filter.
func (Healthy) Name() string { return FilterHealthy }

// Keep implements Filter.
func (Healthy) Keep(_ *Request, a *membership.Agent) bool {
	return a.Report.Healthy
}

// Ready keeps agents whose weights are complete: no load is running, and none failed partway.
type Ready struct{}

// Name implements Filter.
func (Ready) Name() string { return FilterReady }

// Keep implements Filter.
func (Ready) Keep(req *Request, a *membership.Agent) bool {
	if req.Model == "" {
		return true
	}
	m, ok := a.Model(req.Model)
	return ok && m.Ready
}

// Leaving drops agents that are leaving or draining.
type Leaving struct{}

// Name implements Filter.
func (Leaving) Name() string { return FilterLeaving }

// Keep implements Filter.
func (Leaving) Keep(_ *Request, a *membership.Agent) bool {
	return a.State != membership.StateLeaving && !a.Report.Draining
}

// Suspect drops agents that are not live, such as those whose reports have stopped.
type Suspect struct{}

// Name implements Filter.
func (Suspect) Name() string { return FilterSuspect }

// Keep implements Filter.
func (Suspect) Keep(_ *Request, a *membership.Agent) bool {
	return a.State == membership.StateLive
}

// Version drops agents whose weights are older than the request allows.
type Version struct{}

// Name implements Filter.
func (Version) Name() string { return FilterVersion }

// Keep implements Filter.
func (Version) Keep(req *Request, a *membership.Agent) bool {
	if req.MinVersion == 0 {
		return true
	}
	m, ok := a.Model(req.Model)
	return ok && m.Version >= req.MinVersion
}

// Excluded drops agents that the request excludes by id.
type Excluded struct{}

// Name implements Filter.
func (Excluded) Name() string { return FilterExcluded }

// Keep implements Filter.
func (Excluded) Keep(req *Request, a *membership.Agent) bool {
	return !req.Exclude[a.ID]
}

// Free drops agents without a free slot when the request has NeedFree: such requests can
// wait at the entry.
type Free struct{}

// Name implements Filter.
func (Free) Name() string { return FilterFree }

// Keep implements Filter.
func (Free) Keep(req *Request, a *membership.Agent) bool {
	return !req.NeedFree || a.Free() > 0 || req.Unstarted[a.ID] < req.Backlog
}

// Accepted drops agents for which the request's Accept function returns false.
type Accepted struct{}

// Name implements Filter.
func (Accepted) Name() string { return FilterAccept }

// Keep implements Filter.
func (Accepted) Keep(req *Request, a *membership.Agent) bool {
	return req.Accept == nil || req.Accept(a)
}
