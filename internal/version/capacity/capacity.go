// Package capacity plans which pool each instance belongs to. It only returns plans: the control log verifies
// every step of a plan again before the step takes effect.
package capacity

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"laburnumrouter/internal/version/observed"
	"laburnumrouter/internal/version/roster"
	"laburnumrouter/internal/version/state"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	assigned = laburnumv1.AssignmentState_ASSIGNMENT_STATE_ASSIGNED
	draining = laburnumv1.AssignmentState_ASSIGNMENT_STATE_DRAINING
	released = laburnumv1.AssignmentState_ASSIGNMENT_STATE_RELEASED
)

// ForgetAfter is how long an instance must be silent before its assignment is removed.
const ForgetAfter = 10 * time.Minute

// Input is the state from which a plan is made. Planners do not modify it.
type Input struct {
	Now    time.Time
	State  *state.State
	Roster *roster.Roster
	Fleet  *observed.Fleet
	// Tasks returns the number of job tasks that may be running on a worker. It is nil if there are no jobs.
	Tasks func(worker string) int
}

// tasks returns the number of job tasks that may be running on a worker.
func (in *Input) tasks(worker string) int {
	if in.Tasks == nil {
		return 0
	}
	return in.Tasks(worker)
}

// Unavailable returns the members of the given pools that are silent, were never seen, are leaving or have their
// name contested by another process, sorted by id.
func (in *Input) Unavailable(pools ...string) []string {
	var out []string
	for _, pool := range pools {
		for id := range in.Roster.Members(pool) {
			if i := in.Fleet.Instances[id]; i == nil || !i.Up(in.Now) {
				out = append(out, id)
			}
		}
	}
	sort.Strings(out)
	return out
}

// step returns the plan step that changes an assignment to the state to. The explain command shows the reason.
func step(current *laburnumv1.Assignment, to laburnumv1.AssignmentState, reason string) *laburnumv1.AssignmentStep {
	next := proto.Clone(current).(*laburnumv1.Assignment)
	next.State = to
	next.RemovedReason = reason
	return &laburnumv1.AssignmentStep{ExpectedEpoch: current.Epoch, To: next}
}

func sortedIDs[V any](m map[string]V) []string {
	ids := make([]string, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
