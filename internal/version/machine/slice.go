package machine

import (
	"google.golang.org/protobuf/proto"

	"laburnumrouter/internal/version/state"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// setSlices replaces slices of workspace limits. The whole plan is refused if it is based on an outdated slice, lowers a
// slice without consent of its holder, or raises one so that the workspace's slices exceed the workspace's limit.
func (s *commandApplier) setSlices(plan *laburnumv1.SlicePlan) {
	if err := s.verifySlices(plan); err != nil {
		s.refuse("%v", err)
		return
	}
	for _, slice := range plan.GetSlices() {
		to := proto.Clone(slice).(*laburnumv1.Slice)
		to.Incarnation = s.index
		to.Holder = ""
		s.applyChange(&laburnumv1.Change{Kind: &laburnumv1.Change_Slice{Slice: to}})
		s.result.Applied++
	}
}

func (s *commandApplier) verifySlices(plan *laburnumv1.SlicePlan) error {
	sums := make(map[string]uint64)
	raised := make(map[string]bool)
	planned := make(map[state.SliceID]bool)
	for _, slice := range plan.GetSlices() {
		id := state.SliceID{Workspace: slice.Team, DataCentre: slice.DataCentre}
		if planned[id] {
			return Error.New("slice of team %s in %s is planned twice", slice.Team, slice.DataCentre)
		}
		planned[id] = true
		if err := s.verifySlice(id, slice); err != nil {
			return err
		}
		sums[slice.Team] += uint64(slice.Permits)
		raised[slice.Team] = raised[slice.Team] || slice.Permits > s.State.Slices[id].GetPermits()
	}
	for id, held := range s.State.Slices {
		if _, ok := sums[id.Workspace]; ok && !planned[id] {
			sums[id.Workspace] += uint64(held.Permits)
		}
	}
	for name, sum := range sums {
		// After the limit was lowered, the sum may exceed it until all slices have shrunk, but none may grow.
		if limit := uint64(s.State.Workspaces[name].GetLimit()); raised[name] && sum > limit {
			return Error.New("slices of team %s would add up to %d, its limit is %d", name, sum, limit)
		}
	}
	return nil
}

// verifySlice checks that a slice has not changed since the planner read it, and that only its holder lowers it: the
// first member of the data centre's record group. The slice for jobs has other rules, see verifyJobsSlice.
func (s *commandApplier) verifySlice(id state.SliceID, to *laburnumv1.Slice) error {
	current := s.State.Slices[id]
	if to.Incarnation != current.GetIncarnation() {
		return Error.New("slice of team %s in %s is at incarnation %d, not %d",
			id.Workspace, id.DataCentre, current.GetIncarnation(), to.Incarnation)
	}
	if to.Permits >= current.GetPermits() {
		return nil
	}
	if id.DataCentre == state.JobsSlice {
		return s.verifyJobsSlice(to)
	}
	members := s.State.RecordGroups[id.DataCentre].GetMembers()
	if len(members) == 0 || members[0] != to.Holder {
		return Error.New("%q does not hold the slices of %s", to.Holder, id.DataCentre)
	}
	return nil
}

// verifyJobsSlice checks that the permits for jobs are not lowered below the number that jobs hold.
func (s *commandApplier) verifyJobsSlice(to *laburnumv1.Slice) error {
	if held := s.JobPermits(to.Team); int(to.Permits) < held {
		return Error.New("jobs of team %s hold %d permits", to.Team, held)
	}
	return nil
}
