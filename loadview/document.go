// Package loadview is the operator's view of load: which requests the services with a gate were
// asked for, by rank and organisation, and what became of them; the windows of their endpoints; the
// paces of the engines; and the groups of batch jobs that were deferred.
//
// Each process serves a Document about itself at Path. The documents of several processes are
// merged into one Load, which Load.Write prints.
package loadview

import (
	"math"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/observe"
)

// Path is the HTTP path of a process's Document on its metrics listener.
const Path = "/load"

// Document is the load as one process sees it. Counters count since the start of the process.
type Document struct {
	Process     string `json:"process"`
	Incarnation string `json:"incarnation"`
	Role        string `json:"role"`
	Zone        string `json:"zone"`
	Load
}

// Load is the load of one or several processes.
type Load struct {
	// HeldBytes is the memory of requests that wait and of answers that are being written.
	HeldBytes int        `json:"held_bytes"`
	Services  []Service  `json:"services"`
	Engines   []Engine   `json:"engines"`
	Deferrals []Deferral `json:"deferrals"`
}

// Service is the load of one service with a gate.
type Service struct {
	Name string `json:"name"`
	// Open is the number of sends that are under way, Waiting that of requests that wait for
	// capacity, WaitingBytes the memory that these hold.
	Open         int `json:"open"`
	Waiting      int `json:"waiting"`
	WaitingBytes int `json:"waiting_bytes"`
	// Admitted counts the sends so far, Queued those of them that waited for capacity.
	Admitted uint64 `json:"admitted"`
	Queued   uint64 `json:"queued"`
	// Rate is the number of requests a second that the windows allow at present.
	Rate    float64  `json:"rate"`
	Windows []Window `json:"windows"`
	Classes []Class  `json:"classes"`
}

// Window is the concurrency limit at one endpoint, summed over processes.
type Window struct {
	// Endpoint is the endpoint's id, StartedAt its start in milliseconds since 1970.
	Endpoint  string  `json:"endpoint"`
	StartedAt int64   `json:"started_at"`
	Limit     float64 `json:"limit"`
	Open      int     `json:"open"`
	// Processes is the number of processes that have a window there.
	Processes int `json:"processes"`
}

// ClassKey identifies a class of requests: those of one rank and organisation.
type ClassKey struct {
	Rank         int    `json:"rank"` // 0 is the highest
	Organisation string `json:"organisation"`
}

// Class is what became of the requests of one rank and organisation. Asked is the sum of the
// other numbers and of the requests that are being served.
type Class struct {
	ClassKey
	Asked uint64 `json:"asked"`
	// Waiting is the number of requests that wait for capacity at present.
	Waiting int `json:"waiting"`
	// InTime counts the answers within the objective, Late those after it.
	InTime uint64 `json:"in_time"`
	Late   uint64 `json:"late"`
	// Refused counts the requests that were not admitted, by reason.
	Refused map[string]uint64 `json:"refused"`
	// Failed counts the requests that ended without an answer for another reason: the client has
	// gone, or endpoints have failed.
	Failed uint64 `json:"failed"`
}

// RefusedTotal returns the number of requests that were not admitted.
func (c *Class) RefusedTotal() (n uint64) {
	for _, count := range c.Refused {
		n += count
	}
	return n
}

// Engine is the pace of an engine: the time that it takes for its work in hundredths of the usual
// time.
type Engine struct {
	Address string `json:"address"`
	Service string `json:"service"`
	// Pace is 0 if it is not known.
	Pace   int `json:"pace"`
	Spread int `json:"spread"`
	// AgeSeconds is the time since the pace was written.
	AgeSeconds float64 `json:"age_seconds"`
	// Ignored is the reason why the pace counts as unknown; empty if it is used.
	Ignored string `json:"ignored,omitempty"`
}

// Deferral is the number of groups of a batch job that are deferred since they cannot be done in
// time. All agents compute it for the whole job.
type Deferral struct {
	Service      string `json:"service"`
	Job          string `json:"job"`
	Organisation string `json:"organisation"`
	Rank         int    `json:"rank"`
	// Groups is the number of groups of the job, Wanted that of groups that its trainer waits for.
	Groups int `json:"groups"`
	Wanted int `json:"wanted"`
	// Least and Most are the lowest and the highest number of deferred groups that any process has
	// computed. They differ while processes know different rows.
	Least int `json:"least"`
	Most  int `json:"most"`
	// DueInSeconds is the time left until the job is due; it is negative after that.
	DueInSeconds float64 `json:"due_in_seconds"`
	// WorkSeconds is the slot time that the job's groups and those that go before them take,
	// CapacitySeconds that which the engines have until the job is due.
	WorkSeconds     float64 `json:"work_seconds"`
	CapacitySeconds float64 `json:"capacity_seconds"`
}

// LogFields returns the fields of the log line observe.MessageGroupsDeferred.
func (d Deferral) LogFields() logrus.Fields {
	return logrus.Fields{
		observe.FieldJob: d.Job, observe.FieldOrganisation: d.Organisation, observe.FieldService: d.Service, observe.FieldRank: d.Rank,
		observe.FieldGroups: d.Groups, observe.FieldWanted: d.Wanted, observe.FieldDeferred: d.Most, observe.FieldDueIn: milliseconds(d.DueInSeconds),
		observe.FieldWork: milliseconds(d.WorkSeconds), observe.FieldCapacity: milliseconds(d.CapacitySeconds),
	}
}

func milliseconds(seconds float64) int64 { return int64(math.Round(seconds * 1000)) }
