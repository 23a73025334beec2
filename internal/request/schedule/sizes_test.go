package schedule

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/request/ledger"
)

// Guards against starvation in a nearly full pool: many small jobs must not make a large one late, nor many large jobs a
// small one.
func TestNeitherSmallNorLargeJobsStarve(t *testing.T) {
	// The pool can run 16 tasks a second. Small and large jobs together submit 14.3 + 1.5 tasks a second in the first
	// case, 2.5 + 13.3 in the second.
	t.Run("many small", func(t *testing.T) { simulateMixedSizes(t, 70, 8000) })
	t.Run("many large", func(t *testing.T) { simulateMixedSizes(t, 400, 900) })
}

// simulateMixedSizes submits small and large jobs at their intervals for a minute and requires that more than 90% of each
// size meet their objective.
func simulateMixedSizes(t *testing.T, smallIntervalMS, largeIntervalMS int64) {
	t.Helper()
	const (
		tickMS     = 10
		durationMS = 60_000
		taskMS     = 1000
		capacity   = 16 // concurrent tasks of one core each: four servers of four cores
	)
	f := newFixture(t)
	for i := range 4 {
		f.server(fmt.Sprint("s", i), "p", nil)
	}
	type run struct {
		start    ledger.Start
		endsAtMS int64
	}
	var runs []run
	submitted, inTime := map[string]int{}, map[string]int{}
	submittedAtMS := map[string]int64{}
	submitJob := func(size string, at int64, width int) {
		id := fmt.Sprint(size, at)
		submittedAtMS[id] = at
		submitted[size]++
		r := f.ledger.Apply(&ledger.Command{NowMS: startMS + at, Submit: &ledger.Submission{
			ID: id, Queue: "q", Spec: "s", Steps: []ledger.Step{{Count: width, Need: ledger.Resources{CPU: 1000}, EstimateMS: taskMS}},
		}})
		must.EqOp(t, ledger.Accepted, r.Submit)
	}
	for at := int64(0); at < durationMS; at += tickMS {
		if at%smallIntervalMS == 0 {
			submitJob("small", at, 1)
		}
		if at%largeIntervalMS == 0 {
			submitJob("large", at, 12)
		}
		var stillRunning []run
		for _, r := range runs {
			if r.endsAtMS > at {
				stillRunning = append(stillRunning, r)
				continue
			}
			f.ledger.Apply(&ledger.Command{NowMS: startMS + at, Ends: []ledger.End{{
				Task: r.start.Task, Run: r.start.Run, Worker: r.start.Worker, How: ledger.EndDone,
			}}})
			if id := r.start.Task.Job; f.ledger.Job(id).State == ledger.Completed {
				const objectiveMS = 1.6*taskMS + 600
				if float64(at-submittedAtMS[id]) <= objectiveMS {
					inTime[id[:5]]++
				}
			}
		}
		runs = stillRunning
		for _, s := range f.fleet.All() {
			s.AnnouncedAt = f.now
		}
		starts := f.ledger.Apply(&ledger.Command{NowMS: startMS + at, Starts: f.plan(startMS + at)}).Started
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
