package fleet

import (
	"context"
	"sort"
	"time"

	"laburnumrouter/internal/version/capacity"
	"laburnumrouter/internal/version/fleettest"
	"laburnumrouter/internal/version/observed"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
	"laburnumrouter/test/measure/recorder"
)

const (
	slots        = 8
	serviceTime  = time.Second     // run time of a request
	maxWait      = 2 * time.Second // after which callers give up
	meanUse      = 0.3             // part of a pool's slots that the mean demand uses
	spikeFactor  = 5.0
	troughFactor = 1.0 / 20
	spikeLength  = 8 * time.Second
	demandTime   = 30 * time.Minute
)

// policyResult is the outcome of a demand run under one policy.
type policyResult struct {
	late  float64 // part of the work that waited longer than maxWait
	done  float64 // instance-seconds of work
	idle  float64 // idle instance-seconds in pools that serve
	moves int
}

// measureCapacity compares both weightings with static pools under demand spikes of five times the mean.
func measureCapacity(ctx context.Context, r *recorder.Recorder) error {
	for _, s := range []size{kljuc(), drenq()} {
		s.tick = fleettest.Tick
		static, err := runDemand(ctx, s, "")
		if err != nil {
			return err
		}
		for _, weighting := range []capacity.PolicyName{capacity.Responsive, capacity.Economical} {
			got, err := runDemand(ctx, s, weighting)
			if err != nil {
				return err
			}
			name := "capacity, " + s.name + " under " + string(weighting) + " weights: "
			figure := func(what, unit string, value, baseline float64) {
				r.Add(recorder.Figure{Area: area, Name: name + what, Unit: unit, Value: value, Baseline: baseline,
					BaselineName: "static pools", Better: recorder.Lower})
			}
			figure("work that waited over 2 s", "%", 100*got.late, 100*static.late)
			figure("buffer cost", "idle instance-s per instance-s of work", got.idle/got.done, static.idle/static.done)
			figure("instance moves", "1/h", float64(got.moves)/demandTime.Hours(), float64(static.moves)/demandTime.Hours())
		}
	}
	return nil
}

func runDemand(ctx context.Context, s size, weighting capacity.PolicyName) (*policyResult, error) {
	w, err := s.world()
	if err != nil {
		return nil, err
	}
	if policy, ok := capacity.PolicyOf(weighting); ok {
		forecast := capacity.NewForecast(policy)
		w.Planners = append(w.Planners, func(in *capacity.Input) *laburnumv1.AssignmentPlan {
			return capacity.Rebalance(in, forecast, policy)
		})
	}
	before := countMoves(w)
	d := &demandRun{World: w, queues: make(map[string]float64), serving: servingPools(s)}
	out := &policyResult{}
	for step := 0; step < int(demandTime/s.tick) && ctx.Err() == nil; step++ {
		d.serve(out, time.Duration(step)*s.tick)
		w.Step()
	}
	out.moves = countMoves(w) - before
	total := out.done + d.waiting()
	out.late /= max(total, 1)
	return out, ctx.Err()
}

func servingPools(s size) []*laburnumv1.Pool {
	var list []*laburnumv1.Pool
	for _, p := range s.pools {
		if !p.Spare {
			list = append(list, p)
		}
	}
	return list
}

// countMoves returns the number of decisions to drain an instance so far.
func countMoves(w *fleettest.World) int {
	n := 0
	for _, d := range w.Machine.Decisions {
		if d.Action == "draining" {
			n++
		}
	}
	return n
}

// demandRun simulates the queues as fluids: work arrives, waits, and is done by the slots of the pool.
type demandRun struct {
	*fleettest.World
	serving []*laburnumv1.Pool
	queues  map[string]float64 // waiting work by pool, in slot-seconds
}

// serve simulates one tick of demand and work in all serving pools.
func (d *demandRun) serve(out *policyResult, at time.Duration) {
	d.Demand = make(map[string]observed.Demand)
	tick := d.Tick.Seconds()
	for i, p := range d.serving {
		instances := float64(len(d.Assigned(p.Name)))
		available := instances * slots * tick
		d.queues[p.Name] += demandOf(p, i, len(d.serving), at) * tick
		done := min(d.queues[p.Name], available)
		d.queues[p.Name] -= done
		out.done += done / slots
		out.idle += (available - done) / slots
		// Work is late if the pool can't do all the work queued before it within maxWait.
		maxQueued := instances * slots * maxWait.Seconds()
		if late := d.queues[p.Name] - maxQueued; late > 0 {
			out.late += late / slots
			d.queues[p.Name] -= late // the callers give up: the requests are refused without being run
		}
		d.Demand[p.Name] = observed.Demand{Running: int(done / tick), Waiting: int(d.queues[p.Name] / serviceTime.Seconds())}
	}
}

// waiting returns the work that waits in all queues, in instance-seconds.
func (d *demandRun) waiting() float64 {
	sum := 0.0
	for _, q := range d.queues {
		sum += q / slots
	}
	return sum
}

// demandOf returns the slots that the demand for a pool needs. The pools spike one after the other: each has mean
// demand, a spike for spikeLength and then, for as long, a trough of a twentieth of the mean.
func demandOf(p *laburnumv1.Pool, index, pools int, at time.Duration) float64 {
	mean := meanUse * slots * float64(p.Instances)
	cycle := time.Duration(pools) * 2 * spikeLength
	phase := at % cycle
	begin := time.Duration(index) * 2 * spikeLength
	switch {
	case phase >= begin && phase < begin+spikeLength:
		return spikeFactor * mean
	case phase >= begin+spikeLength && phase < begin+2*spikeLength:
		return troughFactor * mean
	}
	return mean
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
