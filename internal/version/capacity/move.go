package capacity

import (
	"sort"
	"time"

	"laburnumrouter/internal/version/roster"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// PlanMoves plans the next step of every move in progress, admits instances without an assignment, drains the
// members of removed pools and removes the assignments of instances silent for longer than ForgetAfter. It keeps
// no state between plans, so every step can be planned again after a restart or by another leader.
func PlanMoves(in *Input) *laburnumv1.AssignmentPlan {
	m := &movePlanner{Input: in, selector: newPoolSelector(in), plan: &laburnumv1.AssignmentPlan{}}
	for _, id := range sortedIDs(in.Roster.OutOfService()) {
		m.planNextStep(in.Roster.Get(id))
	}
	m.admitNew()
	m.drainRemovedPools()
	return m.plan
}

type movePlanner struct {
	*Input
	selector *poolSelector
	plan     *laburnumv1.AssignmentPlan
}

func (m *movePlanner) add(s *laburnumv1.AssignmentStep) { m.plan.Steps = append(m.plan.Steps, s) }

// planNextStep plans the next step of an instance that is draining or released.
func (m *movePlanner) planNextStep(a *laburnumv1.Assignment) {
	switch {
	case m.silentTooLong(a.Instance):
		m.add(forget(a))
	case a.State == draining && m.isDrainObsolete(a):
		m.add(cancelDrain(a))
	case a.State == draining:
		m.release(a)
	case a.Wave == "":
		m.assignReleased(a)
	}
}

// isDrainObsolete reports whether a drain has lost its purpose while the instance's pool still exists: the target
// pool or the maintenance plan was removed, or the wave is not running.
func (m *movePlanner) isDrainObsolete(a *laburnumv1.Assignment) bool {
	if m.State.Pools[a.Pool] == nil {
		return false
	}
	if a.Wave != "" {
		running := m.State.Waves[a.Wave].GetState() == laburnumv1.WaveState_WAVE_STATE_RUNNING
		return m.State.Maintenance[a.Wave] == nil || !running
	}
	return m.State.Pools[a.NextPool] == nil
}

// cancelDrain returns the step that assigns a draining instance to its pool again.
func cancelDrain(a *laburnumv1.Assignment) *laburnumv1.AssignmentStep {
	s := step(a, assigned, "the reason to drain was withdrawn")
	s.To.Wave = ""
	s.To.NextPool = ""
	return s
}

func (m *movePlanner) release(a *laburnumv1.Assignment) {
	idle, _ := m.Fleet.Idle(a.Instance, a.Epoch, m.Now)
	if !idle || m.tasks(a.Instance) > 0 {
		return
	}
	s := step(a, released, "confirmed idle")
	s.To.Incarnation = m.Fleet.Instances[a.Instance].View.Incarnation
	m.add(s)
}

// assignReleased assigns a released instance to its target pool, or to another one if the target pool was removed
// or is full. It waits while the instance is not up or still reports running work.
func (m *movePlanner) assignReleased(a *laburnumv1.Assignment) {
	i := m.Fleet.Instances[a.Instance]
	if i == nil || !i.Up(m.Now) || len(i.View.Running) > 0 {
		return
	}
	pool := m.State.Pools[a.NextPool]
	if pool != nil {
		m.selector.plannedChange[pool.Name]-- // countMoves has counted it as a member already
	}
	if pool == nil || !m.selector.hasRoom(pool) {
		pool = m.selector.choosePool(i.View)
	}
	if pool != nil {
		m.assignTo(a, i.View, pool, "moved from "+a.Pool)
	}
}

// admitNew assigns instances that have no assignment. An instance that still runs work from an earlier assignment
// is not assigned until that work is done.
func (m *movePlanner) admitNew() {
	ready := m.admissible()
	if len(ready) == 0 || !m.selector.prepareAdmission(len(ready)) {
		return
	}
	for _, id := range ready {
		v := m.Fleet.Instances[id].View
		if pool := m.selector.choosePool(v); pool != nil {
			m.assignTo(&laburnumv1.Assignment{Instance: id}, v, pool, "new instance")
		}
	}
}

func (m *movePlanner) admissible() []string {
	var ids []string
	for id, i := range m.Fleet.Instances {
		if m.Roster.Get(id) == nil && i.Up(m.Now) && len(i.View.Running) == 0 {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

func (m *movePlanner) assignTo(a *laburnumv1.Assignment, v *laburnumv1.InstanceView, pool *laburnumv1.Pool, reason string) {
	s := step(a, assigned, reason)
	s.To.Pool = pool.Name
	s.To.NextPool = ""
	s.To.DataCentre = v.DataCentre
	s.To.Rack = v.Rack
	s.To.Services = v.Services
	s.To.Slots = v.Slots
	m.selector.recordJoin(pool.Name, roster.Domain{DataCentre: v.DataCentre, Rack: v.Rack})
	m.add(s)
}

// drainRemovedPools drains the assigned members of pools that the sheet no longer has, and removes the assignments
// of members of any pool that have been silent for too long.
func (m *movePlanner) drainRemovedPools() {
	var leaving []string
	for pool, members := range m.Roster.Pools() {
		removed := m.State.Pools[pool] == nil
		for id, a := range members {
			if a.State == assigned && (removed || m.silentTooLong(id)) {
				leaving = append(leaving, id)
			}
		}
	}
	sort.Strings(leaving)
	for _, id := range leaving {
		a := m.Roster.Get(id)
		if m.silentTooLong(id) {
			m.add(forget(a))
			continue
		}
		m.add(step(a, draining, "the sheet removed the pool"))
	}
}

// silentTooLong reports whether an instance has been silent for longer than ForgetAfter. Time before this process
// began to listen does not count.
func (m *movePlanner) silentTooLong(id string) bool {
	last := m.Fleet.Since
	if i := m.Fleet.Instances[id]; i != nil {
		last = later(last, i.HeardAt)
	}
	return m.Now.Sub(last) > ForgetAfter
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func forget(a *laburnumv1.Assignment) *laburnumv1.AssignmentStep {
	return &laburnumv1.AssignmentStep{
		ExpectedEpoch: a.Epoch,
		Forget:        true,
		To:            &laburnumv1.Assignment{Instance: a.Instance, RemovedReason: "silent for " + ForgetAfter.String()},
	}
}
