package control

import (
	"laburnumrouter/internal/request/placement"
	"laburnumrouter/internal/version/machine"
	"laburnumrouter/internal/version/state"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// maxWaitingNeed limits how many waiting jobs of a workspace count towards the permits that are requested for it.
const maxWaitingNeed = 256

// permitTarget is the limit on the permits of a workspace's jobs that the slice allocator set last. It applies only to the given
// incarnation of the jobs' slice.
type permitTarget struct {
	incarnation uint64
	permits     uint32
}

// syncPermits reports to the slice allocator how many permits the jobs of each workspace need, and sets the scheduler's permits
// from the slices. The jobs of a workspace hold one slice of its limit, as each data centre does; the leader of the log acts
// as the holder of that slice.
func (r *jobRunner) syncPermits() {
	slices, shares := r.jobSlices()
	r.mu.Lock()
	var lines []*laburnumv1.SliceLine
	for workspace, slice := range slices {
		running, waiting := r.scheduler.RunningAndWaiting(workspace)
		need := uint32(running + min(waiting, maxWaitingNeed))
		permits := slice.GetPermits()
		if target, ok := r.permitTargets[workspace]; ok && target.incarnation == slice.GetIncarnation() {
			permits = min(permits, target.permits)
		}
		r.scheduler.SetWorkspace(placement.Workspace{Name: workspace, Share: shares[workspace], Permits: int(permits)})
		lines = append(lines, &laburnumv1.SliceLine{
			Team:        workspace,
			Incarnation: slice.GetIncarnation(),
			Held:        max(uint32(running), min(permits, need)),
			Need:        need,
			Running:     uint32(running),
		})
	}
	r.mu.Unlock()
	targets := r.control.slicer.syncJobs(lines)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range targets {
		r.permitTargets[t.Team] = permitTarget{t.Incarnation, t.Permits}
	}
}

// jobSlices returns, by workspace, the slice of the workspace's jobs and the workspace's share. It covers the workspaces that have jobs or
// whose jobs' slice has permits.
func (r *jobRunner) jobSlices() (slices map[string]*laburnumv1.Slice, shares map[string]uint32) {
	r.mu.Lock()
	names := r.scheduler.Workspaces()
	r.mu.Unlock()
	slices = make(map[string]*laburnumv1.Slice)
	shares = make(map[string]uint32)
	r.control.machine.read(func(m *machine.Machine) {
		for _, name := range names {
			slices[name] = m.State.Slices[state.SliceID{Workspace: name, DataCentre: state.JobsSlice}]
		}
		for name := range m.State.Workspaces {
			if s := m.State.Slices[state.SliceID{Workspace: name, DataCentre: state.JobsSlice}]; s.GetPermits() > 0 {
				slices[name] = s
			}
		}
		for name := range slices {
			shares[name] = m.State.Workspaces[name].GetShare()
		}
	})
	return slices, shares
}

// syncJobs passes the jobs' use of their slices to the allocator and returns the targets that it sets.
func (s *slicer) syncJobs(lines []*laburnumv1.SliceLine) []*laburnumv1.SliceTarget {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leads() {
		return nil
	}
	s.allocator.Sync(s.control.now(), &laburnumv1.SyncSlicesRequest{
		DataCentre: state.JobsSlice,
		Holder:     state.JobsSlice,
		Lines:      lines,
		Full:       !s.allocator.HasLinesFrom(state.JobsSlice, state.JobsSlice),
	})
	return s.allocator.TakeTargets(state.JobsSlice)
}
