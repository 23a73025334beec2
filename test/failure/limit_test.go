package failure

import (
	"encoding/json"
	"net/http"
	"sort"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/test/harness"
)

// limit is the upper limit of each workspace in the sheet of these tests.
const limit = 12

// event mirrors the stand-in's events.
type event struct {
	At        int64  `json:"at"`
	Workspace string `json:"team"`
	Delta     int    `json:"delta"`
}

// peakConcurrency returns the highest number of a workspace's requests that ran at the same time, over all data centres.
func peakConcurrency(t *testing.T, f *harness.Fleet, workspace string) int {
	t.Helper()
	var all []event
	for _, n := range f.Standins {
		resp, err := http.Get("http://" + n.Public + "/standin/events")
		must.NoError(t, err)
		var events []event
		must.NoError(t, json.NewDecoder(resp.Body).Decode(&events))
		resp.Body.Close()
		all = append(all, events...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	running, highest := 0, 0
	for _, e := range all {
		if e.Workspace == workspace {
			running += e.Delta
			highest = max(highest, running)
		}
	}
	return highest
}

// TestLimitHoldsThroughCutAndCrash sends far more requests than the limit allows on both sides of a network cut, kills
// an entry instance that holds permits, restarts it and heals the cut. The requests that really run at the same time
// must never exceed the limit.
func TestLimitHoldsThroughCutAndCrash(t *testing.T) {
	t.Parallel()
	f := startFleet(t, twoDataCentres)
	load := startLoad(f.Entries, 40, func(int) request { return request{workspace: "soap", ms: 200} })
	time.Sleep(3 * time.Second)
	f.Cut("dc2")
	time.Sleep(3 * time.Second)
	victim := f.Entries[1]
	must.NoError(t, victim.Kill())
	time.Sleep(2 * time.Second)
	must.NoError(t, victim.Start())
	f.Heal("dc2")
	time.Sleep(4 * time.Second)
	answers := load.stop()
	must.LessEq(t, limit, peakConcurrency(t, f, "soap"))
	must.Greater(t, 50, count(answers, answer.answered))
}

// TestOneDataCentreUsesNearlyWholeLimit sends all requests to one data centre: its slice must grow to nearly the whole
// limit.
func TestOneDataCentreUsesNearlyWholeLimit(t *testing.T) {
	t.Parallel()
	f := startFleet(t, twoDataCentres)
	load := startLoad(harness.In("dc1", f.Entries), 30, func(int) request { return request{workspace: "soap", ms: 300} })
	eventually(t, "dc1 uses nearly the whole limit", func() bool { return peakConcurrency(t, f, "soap") >= limit-1 })
	load.stop()
	must.LessEq(t, limit, peakConcurrency(t, f, "soap"))
}
