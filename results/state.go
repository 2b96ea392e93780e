package results

import (
	"embed"

	"mulberryscale.example/chart"
)

// State is the state of a run, as defined by the state chart in run.yaml.
type State string

// States of a run.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateDone      State = "done"
	StateFailed    State = "failed"
	StateRefused   State = "refused"
	StateCancelled State = "cancelled"
	StateFenced    State = "fenced"
)

type trigger string

const (
	triggerStart  trigger = "start"
	triggerFinish trigger = "finish"
	triggerFail   trigger = "fail"
	triggerRefuse trigger = "refuse"
	triggerCancel trigger = "cancel"
	triggerFence  trigger = "fence"
)

//go:embed run.yaml
var charts embed.FS

var runChart = chart.MustLoad(charts, "run.yaml",
	[]State{StateQueued, StateRunning, StateDone, StateFailed, StateRefused, StateCancelled, StateFenced},
	[]trigger{triggerStart, triggerFinish, triggerFail, triggerRefuse, triggerCancel, triggerFence})

func newMachine() *chart.Machine[State, trigger] {
	m, err := runChart.NewMachine(nil)
	if err != nil {
		panic(err) // the chart is embedded and names no guards
	}
	return m
}
