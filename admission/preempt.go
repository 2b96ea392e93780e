package admission

import "mulberryscale.example/wire"

// trainingSlotDivisor is the part of the slots that preemption leaves to training.
const trainingSlotDivisor = 4 // one in four

// PreemptCount says how many running training requests must make room for the
// waiting interactive ones. preempting counts those that were told already and
// still hold their slots. A quarter of the slots, at least one, stays with
// training, so that interactive load alone cannot stop it.
func (q *Queue) PreemptCount(preempting int) int {
	waiting := q.class(wire.ClassInteractive).waiting
	free := max(q.slots-q.running, 0)
	reserved := max(q.slots/trainingSlotDivisor, 1)
	needed := waiting - free - preempting
	spare := q.trainingRunning - preempting - reserved
	return max(min(needed, spare), 0)
}
