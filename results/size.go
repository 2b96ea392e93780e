package results

import (
	"mulberryscale.example/api"
	"mulberryscale.example/wire"
)

// Sizes in bytes, as measured by the benchmarks of this package.
// TestByteCountMatchesHeap compares their sum with the heap.
const (
	runSize     = 400 // a run, its map entry in the store and its key's hash
	channelSize = 96  // the channel of a run that is not final
	machineSize = 6850
	doneSize    = 96
	refusalSize = 192
	answerSize  = 96
	headerSize  = 64 // a header's map entry and one value
	valueSize   = 16 // each further value
	chunkSize   = 24
	spanSize    = 16
)

// resize updates the store's byte count to the run's current size.
func (r *Run) resize() {
	size := r.memory()
	if r.store.runs[r.key] == r {
		r.store.bytes += size - r.size
	}
	r.size = size
}

// memory returns the size of the run in bytes.
func (r *Run) memory() int {
	size := runSize + len(r.id) + len(r.key)
	size += cap(r.text) + cap(r.chunks)*chunkSize + cap(r.prefixSpans)*spanSize
	if r.changed != nil {
		size += channelSize
	}
	if r.machine != nil {
		size += machineSize
	}
	return size + doneMemory(r.done) + refusalMemory(r.refusal)
}

func doneMemory(d *wire.Done) int {
	if d == nil {
		return 0
	}
	return doneSize + len(d.Text) + cap(d.Spans)*spanSize + answerMemory(d.Answer)
}

func answerMemory(a *wire.Answer) int {
	if a == nil {
		return 0
	}
	size := answerSize + cap(a.Body)
	for name, values := range a.Header {
		size += headerSize + len(name)
		for _, v := range values {
			size += valueSize + len(v)
		}
	}
	return size
}

func refusalMemory(r *api.Refusal) int {
	if r == nil {
		return 0
	}
	return refusalSize + len(r.Message)
}
