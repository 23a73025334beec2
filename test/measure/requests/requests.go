package requests

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"laburnumrouter/test/measure/recorder"
)

const (
	area               = "requests"
	rateRounds         = 3
	rateRound          = 1000 * time.Millisecond
	rateCallers        = slots / 2
	rateTarget         = 0.8 // part of the bare proxy's rate
	shareTime          = 10 * time.Second
	shareRunMs         = 40
	shareTarget        = 5 // percent
	spikeRunMs         = 50
	spikeFactor        = 5
	troughDivisor      = 20
	slowServer         = "dc1-i1"
	outlierTime        = 4 * time.Second
	outlierCallers     = 12
	inTimeLimit        = startDeadline + 500*time.Millisecond // of the latency of an answer in time
	percent            = 100
	troughTime         = 1500 * time.Millisecond
	spikeTime          = 3 * time.Second
	spikeRounds        = 1
	baselineProxy      = "net/http/httputil.ReverseProxy"
	baselineFIFO       = "first in, first out, no shedding"
	baselineRoundRobin = "round robin"
)

// Run measures the request rate, the shares of the workspaces, a load spike and a slow backend server.
func Run(ctx context.Context, r *recorder.Recorder) error {
	b, err := start(ctx)
	if err != nil {
		return err
	}
	defer b.close()
	if err := b.measureRate(ctx, r); err != nil {
		return err
	}
	b.measureShares(ctx, r)
	b.measureSpike(ctx, r)
	return b.measureOutlier(ctx, r)
}

// measureRate compares the requests per second through an entry with those through the bare proxy. The rounds of
// the entries and the proxy alternate.
func (b *bench) measureRate(ctx context.Context, r *recorder.Recorder) error {
	scheduler, other := b.scheduler()
	if scheduler == nil || other == nil {
		return fmt.Errorf("the entries' logs don't name the pool's scheduler or another entry")
	}
	names := []string{"at the pool's scheduler", "at another entry"}
	addresses := []string{scheduler.Public, other.Public}
	rates := make(map[string][]float64)
	last := make(map[string]*tally)
	for range rateRounds {
		for _, address := range append([]string{b.roundRobin}, addresses...) {
			t := closedLoad(ctx, target{address: address, workspace: "soap"}, rateCallers, rateRound)
			if t.counts[failed]+t.counts[refused] > 0 {
				return fmt.Errorf("%d requests failed, %d were refused in the rate measurement", t.counts[failed], t.counts[refused])
			}
			rates[address] = append(rates[address], float64(t.counts[answered])/rateRound.Seconds())
			last[address] = t
		}
	}
	base := median(rates[b.roundRobin])
	for i, address := range addresses {
		rate := median(rates[address])
		r.Add(recorder.Figure{Area: area, Name: "requests through an entry, " + names[i], Unit: "1/s", Value: rate, Baseline: base, BaselineName: baselineProxy, Better: recorder.Higher})
		r.Add(recorder.Figure{Area: area, Name: "part of the bare proxy's rate, " + names[i], Unit: "", Value: rate / base, Target: rateTarget, HasTarget: true, Better: recorder.Higher})
		for _, q := range []float64{0.5, 0.99} {
			r.Add(recorder.Figure{Area: area, Name: fmt.Sprintf("p%g, %s", q*percent, names[i]), Unit: "ms", Value: last[address].quantile(q), Baseline: last[b.roundRobin].quantile(q), BaselineName: baselineProxy})
		}
	}
	return nil
}

// median returns the median of values, which it sorts.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// measureShares fills the pool with requests of all workspaces and compares their answers with their weights. One workspace
// has far more callers than the others; all callers of a workspace use the same entry.
func (b *bench) measureShares(ctx context.Context, r *recorder.Recorder) {
	fair := b.fillPool(ctx, func(i int) string { return b.fleet.Entries[i%len(b.fleet.Entries)].Public })
	fifo := b.fillPool(ctx, func(int) string { return b.fifo })
	r.Add(recorder.Figure{Area: area, Name: "largest share error of a workspace when full", Unit: "%", Value: shareError(fair), Baseline: shareError(fifo), BaselineName: baselineFIFO, Target: shareTarget, HasTarget: true})
	total := 0
	for _, n := range fair {
		total += n
	}
	r.Add(recorder.Figure{Area: area, Name: "slots in use when full", Unit: "%", Value: percent * float64(total) * shareRunMs / 1000 / shareTime.Seconds() / slots, Better: recorder.Higher})
}

// fillPool sends requests of all workspaces for shareTime and returns the number of answers to each workspace.
func (b *bench) fillPool(ctx context.Context, address func(int) string) map[string]int {
	callers := map[string]int{"soap": 64, "oils": 48, "labels": 192, "drums": 32}
	counts := make(map[string]int)
	var mu sync.Mutex
	var group sync.WaitGroup
	i := 0
	for workspace := range weights {
		at := address(i)
		i++
		group.Go(func() {
			t := closedLoad(ctx, target{address: at, workspace: workspace, ms: shareRunMs}, callers[workspace], shareTime)
			mu.Lock()
			defer mu.Unlock()
			counts[workspace] = t.counts[answered]
		})
	}
	group.Wait()
	return counts
}

// shareError returns the largest deviation of a workspace's answers from its share by weight, in percent of that share.
func shareError(counts map[string]int) float64 {
	total, weight := 0, 0
	for workspace, w := range weights {
		total += counts[workspace]
		weight += w
	}
	worst := 0.0
	for workspace, w := range weights {
		expected := float64(total) * float64(w) / float64(weight)
		worst = max(worst, math.Abs(float64(counts[workspace])-expected)/expected)
	}
	return worst * percent
}

// measureSpike sends a trough of a twentieth of the mean load and then a spike of five times the mean load, which is
// more than the pool can take.
func (b *bench) measureSpike(ctx context.Context, r *recorder.Recorder) {
	capacity := float64(slots) * 1000 / spikeRunMs
	mean := capacity / 2
	var phases []phase
	offered := 0.0
	for range spikeRounds {
		phases = append(phases, phase{mean / troughDivisor, troughTime}, phase{mean * spikeFactor, spikeTime})
		offered += mean/troughDivisor*troughTime.Seconds() + mean*spikeFactor*spikeTime.Seconds()
	}
	var entries []target
	for _, e := range b.fleet.Entries {
		entries = append(entries, target{address: e.Public, workspace: "soap", ms: spikeRunMs})
	}
	ours := openLoad(ctx, entries, phases)
	fifo := openLoad(ctx, []target{{address: b.fifo, workspace: "soap", ms: spikeRunMs}}, phases)
	maxAnswered := capacity * (spikeTime + startDeadline).Seconds() * spikeRounds
	best := min(offered, maxAnswered)
	r.Add(recorder.Figure{Area: area, Name: "spike: answered in time, of what the pool can hold", Unit: "%", Value: percent * float64(ours.within(inTimeLimit)) / best, Baseline: percent * float64(fifo.within(inTimeLimit)) / best, BaselineName: baselineFIFO, Better: recorder.Higher})
	r.Add(recorder.Figure{Area: area, Name: "spike: p99 of answers", Unit: "ms", Value: ours.quantile(0.99), Baseline: fifo.quantile(0.99), BaselineName: baselineFIFO})
	r.Add(recorder.Figure{Area: area, Name: "spike: refused, not run", Unit: "requests", Value: float64(ours.counts[refused]), Baseline: float64(fifo.counts[refused]), BaselineName: baselineFIFO})
	r.Add(recorder.Figure{Area: area, Name: "spike: neither answered nor refused", Unit: "requests", Value: float64(ours.counts[failed]), Baseline: float64(fifo.counts[failed]), BaselineName: baselineFIFO, HasTarget: true})
}

// measureOutlier measures the load while one of four backend servers answers half a second late.
func (b *bench) measureOutlier(ctx context.Context, r *recorder.Recorder) error {
	if err := b.setFault(slowServer, "slow"); err != nil {
		return err
	}
	scheduler, _ := b.scheduler()
	ours := closedLoad(ctx, target{address: scheduler.Public, workspace: "soap", ms: 5}, outlierCallers, outlierTime)
	throughProxy := closedLoad(ctx, target{address: b.roundRobin, workspace: "soap", ms: 5}, outlierCallers, outlierTime)
	r.Add(recorder.Figure{Area: area, Name: "one slow server of four: answered", Unit: "1/s", Value: float64(ours.counts[answered]) / outlierTime.Seconds(), Baseline: float64(throughProxy.counts[answered]) / outlierTime.Seconds(), BaselineName: baselineRoundRobin, Better: recorder.Higher})
	r.Add(recorder.Figure{Area: area, Name: "one slow server of four: p99", Unit: "ms", Value: ours.quantile(0.99), Baseline: throughProxy.quantile(0.99), BaselineName: baselineRoundRobin})
	return b.setFault(slowServer, "none")
}
