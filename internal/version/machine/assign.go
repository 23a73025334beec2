package machine

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"laburnumrouter/internal/version/roster"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	assigned = laburnumv1.AssignmentState_ASSIGNMENT_STATE_ASSIGNED
	draining = laburnumv1.AssignmentState_ASSIGNMENT_STATE_DRAINING
	released = laburnumv1.AssignmentState_ASSIGNMENT_STATE_RELEASED
)

// applyAssignmentPlan verifies and applies the steps of an assignment plan one by one. It skips a step that the
// current state does not allow: the planner sees the new state and plans again.
func (s *commandApplier) applyAssignmentPlan(plan *laburnumv1.AssignmentPlan) {
	budget := roster.NewBudget(s.Roster, s.State.Pools, plan.GetUnavailable())
	for _, st := range plan.GetSteps() {
		if err := s.verifyAssignment(st, budget); err != nil {
			s.result.Reason = err.Error()
			continue
		}
		s.applyAssignment(st)
		s.result.Applied++
	}
}

func (s *commandApplier) verifyAssignment(st *laburnumv1.AssignmentStep, budget *roster.Budget) error {
	to := st.GetTo()
	if to.GetInstance() == "" {
		return Error.New("assignment names no instance")
	}
	current := s.State.Assignments[to.Instance]
	if current.GetEpoch() != st.ExpectedEpoch {
		return Error.New("instance %s is at epoch %d, not %d", to.Instance, current.GetEpoch(), st.ExpectedEpoch)
	}
	if st.Forget {
		return nil
	}
	switch to.State {
	case assigned:
		return s.verifyJoin(current, to)
	case draining:
		return s.verifyDrain(current, to, budget)
	case released:
		return s.verifyRelease(current, to)
	}
	return Error.New("instance %s cannot enter state %v", to.Instance, to.State)
}

// verifyJoin checks that an instance joins a pool only after any other pool has released it, so that it
// belongs to one pool at a time, and that it counts as maintained only after a wave has rebooted it.
func (s *commandApplier) verifyJoin(current, to *laburnumv1.Assignment) error {
	if _, ok := s.State.Pools[to.Pool]; !ok {
		return Error.New("pool %s does not exist", to.Pool)
	}
	if current != nil && current.Pool != to.Pool && current.State != released {
		return Error.New("instance %s has not been released by pool %s", to.Instance, current.Pool)
	}
	if to.Wave != "" {
		return Error.New("instance %s joins pool %s while wave %s still holds it", to.Instance, to.Pool, to.Wave)
	}
	if to.MaintainedUnix == current.GetMaintainedUnix() {
		return nil
	}
	rebooted := current.GetState() == released && current.Wave != "" && to.Incarnation > current.Incarnation
	if !rebooted {
		return Error.New("instance %s was not rebooted by a wave", to.Instance)
	}
	return nil
}

// verifyDrain checks the availability budgets of the pool and, if a wave takes the instance, the limits of the wave.
func (s *commandApplier) verifyDrain(current, to *laburnumv1.Assignment, budget *roster.Budget) error {
	if current.GetState() != assigned && current.GetState() != draining {
		return Error.New("instance %s is not in service", to.Instance)
	}
	if current.Pool != to.Pool {
		return Error.New("instance %s belongs to pool %s, not %s", to.Instance, current.Pool, to.Pool)
	}
	if to.Wave != "" && current.Wave != to.Wave {
		if err := s.verifyWaveDrain(to); err != nil {
			return err
		}
	}
	if current.State == draining {
		return nil
	}
	return budget.AllowDrain(current)
}

// verifyRelease checks that an instance has drained, that it stays in its pool, that it stays in its wave or leaves it,
// and that no task may still be running on it.
func (s *commandApplier) verifyRelease(current, to *laburnumv1.Assignment) error {
	if current.GetState() != draining && current.GetState() != released {
		return Error.New("instance %s has not drained", to.Instance)
	}
	otherWave := to.Wave != "" && to.Wave != current.Wave
	if current.Pool != to.Pool || otherWave {
		return Error.New("instance %s drains from pool %s in wave %q", to.Instance, current.Pool, current.Wave)
	}
	if n := s.Tasks(to.Instance); n > 0 {
		return Error.New("instance %s holds %d tasks", to.Instance, n)
	}
	return nil
}

func (s *commandApplier) applyAssignment(st *laburnumv1.AssignmentStep) {
	subject := "instance/" + st.To.Instance
	if st.Forget {
		s.applyChange(&laburnumv1.Change{Kind: &laburnumv1.Change_ForgottenInstance{ForgottenInstance: st.To.Instance}})
		s.Roster.Remove(st.To.Instance)
		s.recordDecision(subject, "forgotten", st.To.RemovedReason)
		return
	}
	to := proto.Clone(st.To).(*laburnumv1.Assignment)
	to.Epoch = s.index
	to.SinceUnixMs = s.cmd.AtUnixMs
	s.applyChange(&laburnumv1.Change{Kind: &laburnumv1.Change_Assignment{Assignment: to}})
	s.Roster.Put(to)
	s.recordDecision(subject, assignmentAction(to), assignmentReason(to))
}

func assignmentAction(a *laburnumv1.Assignment) string {
	switch a.State {
	case assigned:
		return "assigned"
	case draining:
		return "draining"
	}
	return "released"
}

func assignmentReason(a *laburnumv1.Assignment) string {
	reason := fmt.Sprintf("pool %s epoch %d", a.Pool, a.Epoch)
	if a.NextPool != "" {
		reason += ", moves to " + a.NextPool
	}
	if a.Wave != "" {
		reason += ", wave " + a.Wave
	}
	if a.RemovedReason != "" {
		reason += ": " + a.RemovedReason
	}
	return reason
}
