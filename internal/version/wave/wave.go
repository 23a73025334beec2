// Package wave plans maintenance waves. A wave drains every instance of a maintenance plan, reboots it through the
// platform and returns it to service, once within the plan's window and in the largest steps that the availability
// budgets allow. A step is the set of instances that are out of service at one time.
//
// Plan is a pure function whose whole state is in the control log: an instance is due until its last maintenance lies
// in the window, and a released instance that belongs to a wave is to be rebooted. A new leader therefore continues
// where the last one stopped.
package wave

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"laburnumrouter/internal/version/capacity"
	"laburnumrouter/internal/version/roster"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	assigned = laburnumv1.AssignmentState_ASSIGNMENT_STATE_ASSIGNED
	draining = laburnumv1.AssignmentState_ASSIGNMENT_STATE_DRAINING
	released = laburnumv1.AssignmentState_ASSIGNMENT_STATE_RELEASED

	running = laburnumv1.WaveState_WAVE_STATE_RUNNING
	paused  = laburnumv1.WaveState_WAVE_STATE_PAUSED
	done    = laburnumv1.WaveState_WAVE_STATE_DONE
)

// Policy holds the time limits and failure limits of waves.
type Policy struct {
	// HealthyFor is how long a rebooted instance must be up before it returns to service.
	HealthyFor time.Duration
	// RebootBound is how long a reboot may take before the instance counts as failed.
	RebootBound time.Duration
	// QuietFor is how long a failure counts: a wave that failures paused resumes after QuietFor without a further one.
	QuietFor time.Duration
	// PauseFailures is the number of failures within QuietFor that pauses a wave. For unrelated failures in a large
	// fleet the number is higher, see instancesPerFailure.
	PauseFailures int
}

// DefaultPolicy returns the policy that applies unless the settings change it.
func DefaultPolicy() Policy {
	return Policy{HealthyFor: 30 * time.Second, RebootBound: 10 * time.Minute, QuietFor: 5 * time.Minute, PauseFailures: 2}
}

// Reboot is a request to the platform to reboot an instance. Repeated requests with the same ID reboot it once.
type Reboot struct {
	Instance   string
	DataCentre string
	Wave       string
	ID         string
}

// Actions holds what is to be done next for all waves.
type Actions struct {
	// Waves holds the waves whose recorded state or progress changes.
	Waves []*laburnumv1.Wave
	// Assignments takes instances out of service and returns them.
	Assignments *laburnumv1.AssignmentPlan
	// Reboots holds the requests to the platform; sending one again is safe.
	Reboots []Reboot
}

// Plan decides the next steps of all waves.
func Plan(in *capacity.Input, p Policy) *Actions {
	pl := &planner{Input: in, policy: p, actions: &Actions{Assignments: &laburnumv1.AssignmentPlan{}}}
	pl.advanceReleased()
	for _, name := range sortedNames(in.State.Maintenance) {
		pl.advance(in.State.Maintenance[name])
	}
	pl.endWavesWithoutPlan()
	return pl.actions
}

// planner holds the input and the interim results of one call of Plan.
type planner struct {
	*capacity.Input
	policy       Policy
	actions      *Actions
	budget       *roster.Budget
	outInstances []*laburnumv1.Assignment // instances that any wave has out, including those that this plan drains
}

// advance updates the wave of one plan and drains the instances of its next step.
func (pl *planner) advance(plan *laburnumv1.Maintenance) {
	now := pl.Now.Unix()
	current := pl.State.Waves[plan.Name]
	if now < plan.StartUnix || (current == nil && now >= plan.EndUnix) {
		return
	}
	progress := pl.progress(plan)
	next := pl.nextState(plan, current, progress)
	if !proto.Equal(next, current) {
		pl.actions.Waves = append(pl.actions.Waves, next)
	}
	if current.GetState() == running && next.State == running && now < plan.EndUnix {
		pl.drainNextStep(plan, progress)
	}
}

// progress counts the instances of a plan by how far their maintenance has come.
type progress struct {
	total        int
	due          []*laburnumv1.Assignment // in service and not maintained in the window
	outOfService int                      // out of service for this plan's wave
	overdue      []string                 // draining for longer than the plan's DrainSeconds
}

// progress counts the instances in the pools of a plan.
func (pl *planner) progress(plan *laburnumv1.Maintenance) *progress {
	p := &progress{}
	for _, pool := range pl.poolsOf(plan) {
		for _, a := range pl.Roster.Members(pool) {
			p.total++
			switch {
			case a.State == assigned && a.MaintainedUnix < plan.StartUnix:
				p.due = append(p.due, a)
			case a.State != assigned && a.Wave == plan.Name:
				p.outOfService++
				pl.addIfOverdue(p, plan, a)
			}
		}
	}
	sort.Strings(p.overdue)
	return p
}

func (pl *planner) addIfOverdue(p *progress, plan *laburnumv1.Maintenance, a *laburnumv1.Assignment) {
	bound := time.Duration(plan.DrainSeconds) * time.Second
	if a.State == draining && bound > 0 && pl.Now.Sub(time.UnixMilli(a.SinceUnixMs)) > bound {
		p.overdue = append(p.overdue, a.Instance)
	}
}

// poolsOf returns the pools of a plan: the one that it names, else all.
func (pl *planner) poolsOf(plan *laburnumv1.Maintenance) []string {
	if plan.Pool != "" {
		return []string{plan.Pool}
	}
	return sortedNames(pl.State.Pools)
}

// endWavesWithoutPlan ends the waves whose plan is no longer in the sheet. It leaves a wave that an operator has
// paused.
func (pl *planner) endWavesWithoutPlan() {
	for _, name := range sortedNames(pl.State.Waves) {
		w := pl.State.Waves[name]
		if pl.State.Maintenance[name] != nil || w.State == done || w.ByOperator {
			continue
		}
		next := proto.Clone(w).(*laburnumv1.Wave)
		next.State = done
		next.Reason = "the sheet removed the plan"
		pl.actions.Waves = append(pl.actions.Waves, next)
	}
}

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
