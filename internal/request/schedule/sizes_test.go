package schedule

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/request/ledger"
)

// In a pool that is nearly full, neither do many small jobs keep a large one from its time, nor many large ones a small one.
func TestNeitherSmallNorLargeJobsStarve(t *testing.T) {
	// 14.3 and 1.5 tasks a second, and 2.5 and 13.3, of 16.
	t.Run("many small", func(t *testing.T) { playSizes(t, 70, 8000) })
	t.Run("many large", func(t *testing.T) { playSizes(t, 400, 900) })
}

// playSizes hands in small and large jobs at their intervals.
func playSizes(t *testing.T, smallEvery, largeEvery int64) {
	t.Helper()
	const (
		tickMS   = 10
		untilMS  = 60_000
		taskMS   = 1000
		capacity = 16 // tasks of 1000 at once: four servers of 4000
	)
	w := newWorld(t)
	for i := range 4 {
		w.server(fmt.Sprint("s", i), "p", nil)
	}
	type run struct {
		start ledger.Start
		ends  int64
	}
	var runs []run
	submitted, inTime := map[string]int{}, map[string]int{}
	began := map[string]int64{}
	hand := func(size string, at int64, width int) {
		id := fmt.Sprint(size, at)
		began[id] = at
		submitted[size]++
		r := w.ledger.Apply(&ledger.Command{NowMS: startMS + at, Submit: &ledger.Submission{
			ID: id, Queue: "q", Spec: "s", Steps: []ledger.Step{{Count: width, Need: ledger.Resources{CPU: 1000}, EstimateMS: taskMS}},
		}})
		must.EqOp(t, ledger.Taken, r.Submit)
	}
	for at := int64(0); at < untilMS; at += tickMS {
		if at%smallEvery == 0 {
			hand("small", at, 1)
		}
		if at%largeEvery == 0 {
			hand("large", at, 12)
		}
		var rest []run
		for _, r := range runs {
			if r.ends > at {
				rest = append(rest, r)
				continue
			}
			w.ledger.Apply(&ledger.Command{NowMS: startMS + at, Ends: []ledger.End{{
				Task: r.start.Task, Run: r.start.Run, Worker: r.start.Worker, How: ledger.EndDone,
			}}})
			if id := r.start.Task.Job; w.ledger.Job(id).State == ledger.Completed {
				const objective = 1.6*taskMS + 600
				if float64(at-began[id]) <= objective {
					inTime[id[:5]]++
				}
			}
		}
		runs = rest
		for _, s := range w.fleet.All() {
			s.HeardAt = w.now
		}
		starts := w.ledger.Apply(&ledger.Command{NowMS: startMS + at, Starts: w.plan(startMS + at)}).Started
		for _, s := range starts {
			runs = append(runs, run{s, at + taskMS})
		}
		must.LessEq(t, capacity, len(runs))
	}
	for _, size := range []string{"small", "large"} {
		share := float64(inTime[size]) / float64(submitted[size])
		must.Greater(t, 0.9, share, must.Sprint(size))
	}
}
