package fleettest

import (
	"time"

	"laburnumrouter/internal/version/wave"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// Platform is a fake platform that reboots instances.
type Platform struct {
	RebootTime time.Duration
	// DropRequest reports whether the request with this number, counted from 1, is dropped without effect, as if the
	// platform were unreachable.
	DropRequest func(request int) bool
	// Reboots counts the reboots of each instance.
	Reboots         map[string]int
	handledRequests map[string]bool // by request id
	requestCount    int
}

// UseWaves makes every Step plan maintenance waves and carry out their reboots on the returned platform.
func (w *World) UseWaves(policy wave.Policy) *Platform {
	w.Platform = &Platform{RebootTime: time.Minute, Reboots: make(map[string]int), handledRequests: make(map[string]bool)}
	w.wavePolicy = &policy
	return w.Platform
}

func (w *World) planWaves() {
	actions := wave.Plan(w.Input(), *w.wavePolicy)
	w.planCount++
	if w.DropPlan != nil && w.DropPlan(w.planCount) {
		return
	}
	for _, next := range actions.Waves {
		w.Apply(&laburnumv1.Command{By: "planner", Kind: &laburnumv1.Command_Wave{Wave: next}})
	}
	if len(actions.Assignments.Steps) > 0 {
		w.ApplyPlan(actions.Assignments)
	}
	for _, r := range actions.Reboots {
		w.Platform.reboot(w, r)
	}
}

func (p *Platform) reboot(w *World, r wave.Reboot) {
	p.requestCount++
	if p.handledRequests[r.ID] || (p.DropRequest != nil && p.DropRequest(p.requestCount)) {
		return
	}
	p.handledRequests[r.ID] = true
	p.Reboots[r.Instance]++
	w.Fail(r.Instance, p.RebootTime)
}

// SetWave pauses or resumes a wave on behalf of an operator.
func (w *World) SetWave(name string, pause bool) *laburnumv1.CommandResult {
	return w.Apply(&laburnumv1.Command{By: "operator", Kind: &laburnumv1.Command_Wave{Wave: wave.WithOperatorState(w.Machine.State.Waves[name], pause, "operator")}})
}
