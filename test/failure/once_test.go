package failure

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/test/harness"
)

// reportedOutcomes records what callers were told about each idempotency key.
type reportedOutcomes struct {
	mu      sync.Mutex
	last    map[string]string // last outcome of each key
	details map[string]string // every answer for a key, for the report of a failed test
}

func newReportedOutcomes() *reportedOutcomes {
	return &reportedOutcomes{last: make(map[string]string), details: make(map[string]string)}
}

func (v *reportedOutcomes) addDetail(id string, a answer) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.details[id] += fmt.Sprintf("\n%d %s %s", a.status, a.outcome, a.body)
}

func (v *reportedOutcomes) set(id, outcome string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.last[id] = outcome
}

// totalRuns returns how often each idempotency key ran, summed over all data centres.
func totalRuns(t *testing.T, f *harness.Fleet) map[string]int {
	t.Helper()
	total := make(map[string]int)
	for _, n := range f.Standins {
		for id, runs := range standinCounts(t, n).Runs {
			total[id] += runs
		}
	}
	return total
}

// TestRefundsRunAtMostOnce sends refunds with idempotency keys and repeats each at randomly chosen entries until it is
// reported as completed, while entries are killed, restarted and frozen. No key may run twice, and the reported outcome
// must match what ran.
func TestRefundsRunAtMostOnce(t *testing.T) {
	t.Parallel()
	const (
		callers  = 12
		refunds  = 25 // per caller
		attempts = 6
	)
	f := startFleet(t, twoDataCentres)
	reported := newReportedOutcomes()
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(c)))
			for i := range refunds {
				id := fmt.Sprintf("dc%d/refund-%d-%d", 1+c%2, c, i)
				for range attempts {
					e := f.Entries[rng.IntN(len(f.Entries))]
					a := send(e, request{workspace: "soap", id: id, ms: 20})
					if a.err == nil && a.outcome != "" {
						reported.set(id, a.outcome)
					}
					if a.err == nil && a.outcome == "completed" {
						break
					}
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	for _, victim := range []*harness.Node{f.Entries[0], f.Entries[3]} {
		time.Sleep(700 * time.Millisecond)
		must.NoError(t, victim.Kill())
		time.Sleep(700 * time.Millisecond)
		must.NoError(t, victim.Start())
	}
	frozen := f.Entries[2]
	must.NoError(t, frozen.Freeze())
	time.Sleep(time.Second)
	must.NoError(t, frozen.Thaw())
	wg.Wait()

	runs := totalRuns(t, f)
	completed := 0
	for id, outcome := range reported.last {
		must.LessEq(t, 1, runs[id], must.Sprintf("%s ran more than once", id))
		switch outcome {
		case "completed":
			completed++
			must.Eq(t, 1, runs[id], must.Sprintf("%s was reported as completed", id))
		case "not-run":
			must.Eq(t, 0, runs[id], must.Sprintf("%s was reported as not run", id))
		}
	}
	t.Logf("%d ids, %d completed", len(reported.last), completed)
	must.Greater(t, callers*refunds/2, completed)
}

// TestSameKeyAtEveryEntryRunsOnce sends each idempotency key to all entries at the same time.
func TestSameKeyAtEveryEntryRunsOnce(t *testing.T) {
	t.Parallel()
	f := startFleet(t, twoDataCentres)
	for i := range 30 {
		id := fmt.Sprintf("dc%d/same-%d", 1+i%2, i)
		var wg sync.WaitGroup
		for _, e := range f.Entries {
			wg.Go(func() { send(e, request{workspace: "soap", id: id, ms: 5}) })
		}
		wg.Wait()
		eventually(t, id+" is completed everywhere", func() bool {
			for _, e := range f.Entries {
				if a := send(e, request{workspace: "soap", id: id, ms: 5}); a.outcome != "completed" {
					return false
				}
			}
			return true
		})
	}
	for id, runs := range totalRuns(t, f) {
		must.Eq(t, 1, runs, must.Sprintf("%s", id))
	}
}
