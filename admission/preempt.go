package admission

import "mulberryscale.example/wire"

// trainingSlotDivisor sets the share of the slots that preemption leaves to training.
const trainingSlotDivisor = 4 // one in four

// PreemptCount returns how many running training requests to preempt for the waiting
// interactive ones. preempting counts the requests that were preempted already and still
// occupy their slots. A quarter of the slots, at least one, is left to training, so that
// interactive load alone cannot stop it.
func (q *Queue) PreemptCount(preempting int) int {
	waiting := q.class(wire.ClassInteractive).waiting
	free := max(q.slots-q.running, 0)
	reserved := max(q.slots/trainingSlotDivisor, 1)
	needed := waiting - free - preempting
	spare := q.trainingRunning - preempting - reserved
	return max(min(needed, spare), 0)
}
