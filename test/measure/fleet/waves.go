package fleet

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"laburnumrouter/internal/version/fleettest"
	"laburnumrouter/internal/version/roster"
	"laburnumrouter/internal/version/wave"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
	"laburnumrouter/test/measure/recorder"
)

const (
	planName   = "monthly"
	rebootTime = 3 * time.Minute
	longestRun = 5 * time.Minute // longest remaining run of a request when its instance begins to drain
	planPeriod = 28 * 24 * time.Hour
	// failuresPerDay is the failure rate per instance to design for: 42 failures a day among 4,400 instances.
	failuresPerDay = 42.0 / 4400
	repairTime     = 2 * time.Hour // of a failed instance
)

// rollout is the result of one wave.
type rollout struct {
	duration        time.Duration
	maintainedShare float64 // part of the instances that were maintained
	breaches        int     // pools, summed over the ticks, that lacked instances because of the wave
	rackBreaches    int     // likewise, that would have lacked instances after the loss of a further rack
	progress        []recorder.Point
}

// measureWaves compares waves that take the largest safe step with waves that take one instance at a time.
func measureWaves(ctx context.Context, r *recorder.Recorder) error {
	for _, s := range []size{kljuc(), drenq(), designFleet()} {
		limit, baselineLimit, name := planPeriod, planPeriod, "roll-out time"
		if s.name == "letter" {
			limit, baselineLimit = 90*time.Minute, 30*time.Minute
			name = "roll-out time, from the rate of the first 90 min (baseline: 30 min)"
		}
		ours, err := runWave(ctx, s, 0, limit)
		if err != nil {
			return err
		}
		single, err := runWave(ctx, s, 1, baselineLimit)
		if err != nil {
			return err
		}
		figure := func(name, unit string, value, baseline, target float64) {
			r.Add(recorder.Figure{Area: area, Name: "waves, " + s.name + ": " + name, Unit: unit, Value: value, Baseline: baseline,
				BaselineName: "one instance at a time", Target: target, HasTarget: true, Better: recorder.Lower})
		}
		figure(name, "h", ours.hours(), single.hours(), planPeriod.Hours())
		figure("budget breaches", "ticks", float64(ours.breaches), float64(single.breaches), 0)
		figure("breaches if one further rack were lost", "ticks", float64(ours.rackBreaches), float64(single.rackBreaches), 0)
		r.AddSeries(recorder.Series{Plot: "Roll-out, " + s.name, Name: "largest safe step", XLabel: "hours", YLabel: "part maintained", Points: ours.progress})
		r.AddSeries(recorder.Series{Plot: "Roll-out, " + s.name, Name: "one at a time", XLabel: "hours", YLabel: "part maintained", Points: single.progress})
	}
	return nil
}

// hours returns the roll-out time. For a wave that was stopped at the time limit, it is extrapolated at its mean rate.
func (o *rollout) hours() float64 { return o.duration.Hours() / max(o.maintainedShare, 1e-9) }

func runWave(ctx context.Context, s size, maxStep uint32, limit time.Duration) (*rollout, error) {
	w, err := s.world()
	if err != nil {
		return nil, err
	}
	policy := wave.DefaultPolicy()
	w.UseWaves(policy).RebootTime = rebootTime
	start := w.Now
	plan := &laburnumv1.Maintenance{Name: planName, StartUnix: start.Unix(), EndUnix: start.Add(planPeriod).Unix(), MaxStep: maxStep, DrainSeconds: 900}
	w.ApplySheet(&laburnumv1.Configuration{SheetNumber: 2, Pools: s.pools, Maintenance: []*laburnumv1.Maintenance{plan}})
	v := &waveRun{World: w, random: rand.New(rand.NewPCG(1, 2)), busyUntil: make(map[string]time.Time), ids: slices.Sorted(maps.Keys(w.Instances))}
	out := &rollout{}
	for w.Now.Sub(start) < limit && ctx.Err() == nil {
		v.keepBusy()
		v.failInstances()
		w.Step()
		v.countBreaches(out)
		state := w.Machine.State.Waves[planName]
		out.duration = w.Now.Sub(start)
		out.maintainedShare = float64(state.GetDone()) / max(1, float64(state.GetTotal()))
		if int(out.duration/w.Tick)%200 == 0 {
			out.progress = append(out.progress, recorder.Point{X: out.duration.Hours(), Y: out.maintainedShare})
		}
		if state.GetState() == laburnumv1.WaveState_WAVE_STATE_DONE {
			return out, nil
		}
	}
	if out.maintainedShare == 0 {
		return nil, fmt.Errorf("%s: nothing was maintained within %s: %s", s.name, limit, w.Machine.State.Waves[planName].GetReason())
	}
	return out, ctx.Err()
}

// waveRun simulates work and failures during a wave.
type waveRun struct {
	*fleettest.World
	random    *rand.Rand
	busyUntil map[string]time.Time
	ids       []string // of all instances, sorted
}

// keepBusy gives each instance that begins to drain work in progress, for a random time up to longestRun.
func (v *waveRun) keepBusy() {
	for id, a := range v.Machine.Roster.OutOfService() {
		if a.State != laburnumv1.AssignmentState_ASSIGNMENT_STATE_DRAINING {
			delete(v.busyUntil, id)
			continue
		}
		if v.busyUntil[id].IsZero() {
			v.busyUntil[id] = v.Now.Add(time.Duration(v.random.Int64N(int64(longestRun))))
		}
		v.Entries[0].Outstanding[id] = 0
		if v.Now.Before(v.busyUntil[id]) {
			v.Entries[0].Outstanding[id] = 1
		}
	}
}

// failInstances takes down random instances at the rate failuresPerDay, at most one per tick.
func (v *waveRun) failInstances() {
	rate := failuresPerDay * float64(len(v.Instances)) * v.Tick.Hours() / 24
	if v.random.Float64() >= rate {
		return
	}
	id := v.ids[v.random.IntN(len(v.ids))]
	if !v.Instances[id].Down {
		v.Fail(id, repairTime)
	}
}

// countBreaches adds the pools that lack instances because of the wave, and those that would lack instances if the
// largest of their racks were lost in the tick in which the wave takes out an instance.
func (v *waveRun) countBreaches(out *rollout) {
	for name, members := range v.Machine.Roster.Pools() {
		need := int(v.Machine.State.Pools[name].GetMinAvailable())
		serving, planned := 0, 0
		racks := make(map[roster.Domain]int)
		worst := 0
		for id, a := range members {
			switch {
			case a.Wave != "":
				planned++
			case a.State == laburnumv1.AssignmentState_ASSIGNMENT_STATE_ASSIGNED && !v.Instances[id].Down:
				serving++
				racks[roster.DomainOf(a)]++
				worst = max(worst, racks[roster.DomainOf(a)])
			}
		}
		if serving < need && serving+planned >= need {
			out.breaches++
		}
		if planned > 0 && serving-worst < need && v.drainStarted(members) {
			out.rackBreaches++
		}
	}
}

// drainStarted reports whether the wave began to drain an instance of a pool in this tick.
func (v *waveRun) drainStarted(members map[string]*laburnumv1.Assignment) bool {
	for _, a := range members {
		if a.Wave != "" && a.State == laburnumv1.AssignmentState_ASSIGNMENT_STATE_DRAINING && a.SinceUnixMs == v.Now.UnixMilli() {
			return true
		}
	}
	return false
}
