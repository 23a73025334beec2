// Package limits measures how much of a workspace's limit is used when all its demand is in one data centre, how fast
// slices follow a spike, and how much an idempotency record adds to the latency of a request.
package limits

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"laburnumrouter/internal/process/escrow"
	"laburnumrouter/test/harness"
	"laburnumrouter/test/measure/recorder"
)

const (
	area               = "limits"
	workspace          = "soap"
	limit              = 40
	service            = "refund"
	startTimeout       = 20 * time.Second
	settleTime         = 4 * time.Second  // before the spike, so that slices are spread evenly over the data centres
	spikeTime          = 10 * time.Second // duration of the spike, with all demand in one data centre
	averageFrom        = 4 * time.Second  // time after the start of the spike from which use is averaged
	runMS              = 100              // run time of a request
	callers            = 5 * limit / 2    // concurrent requests
	useTargetPercent   = 90               // of the limit
	spikeTargetSeconds = 5                // the requirement says "within seconds"
	entries            = 4                // in both data centres, as in shape
)

var shape = harness.Shape{
	Controls: []string{"dc1", "dc1", "dc2"},
	Entries:  []string{"dc1", "dc1", "dc2", "dc2"},
	Servers:  8,
	Services: []string{service},
}

// Run records the use of the limit, the time to follow a spike, and the cost of idempotency records.
func Run(ctx context.Context, r *recorder.Recorder) error {
	measurePlan(r)
	dir, err := os.MkdirTemp("", "laburnum-limits-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if err := harness.Build(dir); err != nil {
		return err
	}
	f, err := harness.New(dir, dir, shape)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := startFleet(ctx, f); err != nil {
		return err
	}
	if err := measureRecords(ctx, f, r); err != nil {
		return err
	}
	return measureUse(ctx, f, r)
}

// startFleet starts the fleet, applies its sheet and waits until every entry answers requests.
func startFleet(ctx context.Context, f *harness.Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.Start(); err != nil {
		return err
	}
	path := filepath.Join(f.Dir, "sheet.csv")
	if err := os.WriteFile(path, []byte(sheet()), 0o600); err != nil {
		return err
	}
	if err := await(ctx, func() bool { _, err := f.Ctl("apply", path); return err == nil }); err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	for _, e := range f.Entries {
		if err := await(ctx, func() bool { return send(ctx, e, "", 0) == nil }); err != nil {
			return fmt.Errorf("%s: %w", e.Name, err)
		}
	}
	return nil
}

// sheet returns the sheet of the fleet as CSV.
func sheet() string {
	sum := sha256.Sum256([]byte(workspace))
	return fmt.Sprintf(`kind,number,name,service,pool,team,instances,min_available,max_wait,max_run,share,limit,when_cut_off,sha256
sheet,1
pool,,refund,refund,,,16,1
queue,,refunds,,refund,,,,5s,20s
team,,%s,,,,,,,,1,%d,serve
key,,,,,%s,,,,,,,,%s
`, workspace, limit, workspace, hex.EncodeToString(sum[:]))
}

// await polls until ok returns true or ctx ends.
func await(ctx context.Context, ok func() bool) error {
	for !ok() {
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// measureUse sends all demand to one data centre after an idle period, and computes the running requests from the
// events that the backend servers report.
func measureUse(ctx context.Context, f *harness.Fleet, r *recorder.Recorder) error {
	time.Sleep(settleTime)
	begin := time.Now()
	load(ctx, harness.In("dc1", f.Entries), spikeTime)
	events, err := fetchEvents(f)
	if err != nil {
		return err
	}
	use := replay(events, begin.Add(averageFrom), begin.Add(spikeTime))
	static := 100 * float64(staticUse()) / limit
	r.Add(recorder.Figure{
		Area: area, Name: "limit in use, all demand in one data centre", Unit: "%", Value: 100 * use.mean / limit,
		Baseline: static, BaselineName: "limit split evenly over the entries", Target: useTargetPercent, HasTarget: true, Better: recorder.Higher,
	})
	r.Add(recorder.Figure{
		Area: area, Name: "requests above the limit at one moment", Unit: "requests", Value: float64(max(use.peak-limit, 0)),
		HasTarget: true, Better: recorder.Lower,
	})
	if use.reached.IsZero() {
		return fmt.Errorf("requests never used %d%% of the limit", useTargetPercent)
	}
	r.Add(recorder.Figure{
		Area: area, Name: "spike in one data centre until 90% of the limit runs", Unit: "s", Value: use.reached.Sub(begin).Seconds(),
		Target: spikeTargetSeconds, HasTarget: true, Better: recorder.Lower,
	})
	r.AddSeries(use.series(begin))
	return nil
}

// staticUse returns how many requests the entries of one data centre may run if the limit is split evenly over all
// entries.
func staticUse() int {
	n := 0
	for range len(entriesIn("dc1")) {
		permits := escrow.NewStatic(func(string) int { return limit / entries })
		for permits.TryAcquire(workspace) {
			n++
		}
	}
	return n
}

// entriesIn returns one element for each entry of a data centre.
func entriesIn(dataCentre string) []string {
	var in []string
	for _, dc := range shape.Entries {
		if dc == dataCentre {
			in = append(in, dc)
		}
	}
	return in
}
