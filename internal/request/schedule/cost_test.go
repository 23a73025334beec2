package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/request/ledger"
)

// Guards against shortcuts that change what is planned: with and without them, random fleets and jobs must get the same
// starts.
func TestShortcutsDoNotChangePlans(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		f := newFixture(t)
		for i := range 1 + rng.IntN(6) {
			f.server(fmt.Sprint("s", i), "p", func(s *ledger.Server) { s.Labels = []string{[]string{"a", "b"}[rng.IntN(2)], "rack-x"} })
		}
		for i := range 30 {
			first := newStep(1+rng.IntN(4), int64(rng.IntN(12))*500)
			first.Need.MemMB = int64(rng.IntN(5)) * 1000
			first.Label = []string{"", "", "a", "b"}[rng.IntN(4)]
			first.Spread, first.Lasting, first.Gang = rng.IntN(3), rng.IntN(5) == 0, rng.IntN(4) == 0
			second := newStep(1, 500)
			second.After = []int{0}
			f.submit(strings.Repeat("j", 1+rng.IntN(3))+[]string{"", "-", "."}[rng.IntN(3)]+fmt.Sprint(i), first, second)
		}
		for round := range 4 {
			at := startMS + int64(round)*1500
			in := &Input{Now: f.now, WallMS: at, Ledger: f.ledger, Fleet: f.fleet}
			reference := newPlanner(in)
			reference.exhaustive = true
			starts := Plan(in)
			must.Eq(t, plan(reference), starts, must.Sprint("seed ", seed, " round ", round))
			f.ledger.Apply(&ledger.Command{NowMS: at, Starts: starts})
			for _, s := range starts {
				if rng.IntN(2) == 0 {
					how := []ledger.EndCause{ledger.EndDone, ledger.EndRefused}[rng.IntN(2)]
					f.ledger.Apply(&ledger.Command{NowMS: at, Ends: []ledger.End{{Task: s.Task, Run: s.Run, Worker: s.Worker, How: how}}})
				}
			}
		}
	}
}

// Guards against an order of equal candidates that differs from that of their formatted IDs, which decided before.
func TestEqualRanksAreOrderedByTaskID(t *testing.T) {
	var list []candidate
	for _, id := range []string{"j", "j-1", "j1", "j.0", "j+", "k", "jj"} {
		for _, n := range []int{2, 10} {
			list = append(list, candidate{job: &ledger.Job{Submission: ledger.Submission{ID: id}}, occurrence: n, step: n})
		}
	}
	slices.SortFunc(list, compareCandidates)
	must.True(t, slices.IsSortedFunc(list, func(a, b candidate) int { return strings.Compare(a.id(), b.id()) }))
}
