package worker

import (
	"laburnumrouter/test/soak/history"
)

// Planted faults of a worker, by which the soak shows that its checker fails.
const (
	// PlantTwice starts a second run of a task while the first one works.
	PlantTwice = "worker-runs-twice"
	// PlantAgain starts a task again after its end was acknowledged.
	PlantAgain = "worker-runs-again"
	// PlantEarly reports the end of a run when it starts.
	PlantEarly = "worker-ends-early"
	// PlantUnasked runs a task that nobody has submitted.
	PlantUnasked = "worker-runs-unasked"
	// PlantCrowded runs far more than the worker's capacity.
	PlantCrowded = "worker-is-crowded"
)

// Plants lists the planted faults of a worker.
var Plants = []string{PlantTwice, PlantAgain, PlantEarly, PlantUnasked, PlantCrowded}

// plantEvery is the share of the starts at which a planted fault acts.
const plantEvery = 10

// plantAtStart makes a planted fault act at some starts. The caller holds w.mu.
func (w *Worker) plantAtStart(r *run, e history.Event) {
	if w.starts%plantEvery != 0 {
		return
	}
	switch w.settings.Plant {
	case PlantTwice:
		e.Run++
		w.out.Add(e)
	case PlantAgain:
		e.T = r.endsAt + 1
		e.Run++
		w.out.Add(e)
	case PlantEarly:
		w.list(r, r.how)
	case PlantUnasked:
		e.Task = "00000000" + e.Task[8:]
		w.out.Add(e)
	case PlantCrowded:
		for range 64 {
			e.Run++
			e.Task = r.task + "9"
			w.out.Add(e)
		}
	}
}
