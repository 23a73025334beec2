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
	longestRun = 5 * time.Minute // of work in progress when an instance begins to drain
	period     = 28 * 24 * time.Hour
	// failuresPerDay is the letter's rate of failing instances among 4,400.
	failuresPerDay = 42.0 / 4400
	repairTime     = 2 * time.Hour
)

// rollout is what one wave took.
type rollout struct {
	took     time.Duration
	share    float64 // of the instances that were maintained
	breaches int     // ticks in which a pool lacked instances that the wave had out
	rackless int     // ticks in which a pool could not have lost a further rack, because of the wave
	done     []recorder.Point
}

// measureWaves compares the largest safe step with one instance at a time.
func measureWaves(ctx context.Context, r *recorder.Recorder) error {
	for _, s := range []size{kljuc(), drenq(), letter()} {
		limit, baselineLimit, name := period, period, "roll-out time"
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
		figure(name, "h", ours.hours(), single.hours(), period.Hours())
		figure("budget breaches", "ticks", float64(ours.breaches), float64(single.breaches), 0)
		figure("breaches if one further rack were lost", "ticks", float64(ours.rackless), float64(single.rackless), 0)
		r.AddSeries(recorder.Series{Plot: "Roll-out, " + s.name, Name: "largest safe step", XLabel: "hours", YLabel: "part maintained", Points: ours.done})
		r.AddSeries(recorder.Series{Plot: "Roll-out, " + s.name, Name: "one at a time", XLabel: "hours", YLabel: "part maintained", Points: single.done})
	}
	return nil
}

// hours returns the roll-out time. A wave that was cut off at the limit is extended at its mean rate.
func (o *rollout) hours() float64 { return o.took.Hours() / max(o.share, 1e-9) }

func runWave(ctx context.Context, s size, maxStep uint32, limit time.Duration) (*rollout, error) {
	w, err := s.world()
	if err != nil {
		return nil, err
	}
	policy := wave.DefaultPolicy()
	w.UseWaves(policy).RebootTime = rebootTime
	start := w.Now
	plan := &laburnumv1.Maintenance{Name: planName, StartUnix: start.Unix(), EndUnix: start.Add(period).Unix(), MaxStep: maxStep, DrainSeconds: 900}
	w.ApplySheet(&laburnumv1.Configuration{SheetNumber: 2, Pools: s.pools, Maintenance: []*laburnumv1.Maintenance{plan}})
	v := &waveRun{World: w, random: rand.New(rand.NewPCG(1, 2)), busyUntil: make(map[string]time.Time), ids: slices.Sorted(maps.Keys(w.Instances))}
	out := &rollout{}
	for w.Now.Sub(start) < limit && ctx.Err() == nil {
		v.work()
		v.failSome()
		w.Step()
		v.check(out)
		state := w.Machine.State.Waves[planName]
		out.took = w.Now.Sub(start)
		out.share = float64(state.GetDone()) / max(1, float64(state.GetTotal()))
		if int(out.took/w.Tick)%200 == 0 {
			out.done = append(out.done, recorder.Point{X: out.took.Hours(), Y: out.share})
		}
		if state.GetState() == laburnumv1.WaveState_WAVE_STATE_DONE {
			return out, nil
		}
	}
	if out.share == 0 {
		return nil, fmt.Errorf("%s: nothing was maintained within %s: %s", s.name, limit, w.Machine.State.Waves[planName].GetReason())
	}
	return out, ctx.Err()
}

// waveRun plays work and failures during a wave.
type waveRun struct {
	*fleettest.World
	random    *rand.Rand
	busyUntil map[string]time.Time
	ids       []string // of all instances, sorted
}

// work keeps instances that begin to drain busy for a while.
func (v *waveRun) work() {
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

// failSome takes instances down at the letter's rate.
func (v *waveRun) failSome() {
	rate := failuresPerDay * float64(len(v.Instances)) * v.Tick.Hours() / 24
	if v.random.Float64() >= rate {
		return
	}
	id := v.ids[v.random.IntN(len(v.ids))]
	if !v.Instances[id].Down {
		v.Fail(id, repairTime)
	}
}

// check counts the pools that lack instances because the wave has some out.
func (v *waveRun) check(out *rollout) {
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
		if planned > 0 && serving-worst < need && v.granted(members) {
			out.rackless++
		}
	}
}

// granted reports whether the wave took an instance of a pool out in this very tick.
func (v *waveRun) granted(members map[string]*laburnumv1.Assignment) bool {
	for _, a := range members {
		if a.Wave != "" && a.State == laburnumv1.AssignmentState_ASSIGNMENT_STATE_DRAINING && a.SinceUnixMs == v.Now.UnixMilli() {
			return true
		}
	}
	return false
}
