package control

import (
	"context"
	"sync"
	"time"

	"laburnumrouter/internal/version/allocation"
	"laburnumrouter/internal/version/state"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	// slicePlanInterval is the interval at which the leader plans slices.
	slicePlanInterval = 100 * time.Millisecond
	// maxSliceSyncWait limits how long a holder's Sync call waits for new targets (long poll).
	maxSliceSyncWait = time.Second
)

// slicer splits workspace limits over data centres while this instance leads the log.
type slicer struct {
	control *Control

	mu             sync.Mutex
	allocator      *allocation.Allocator
	term           uint64
	targetsChanged chan struct{} // closed and replaced when there may be new targets for holders
}

func newSlicer(c *Control) *slicer {
	return &slicer{control: c, allocator: allocation.New(), targetsChanged: make(chan struct{})}
}

// leads reports whether this instance leads the log. At the first call in a new term it replaces the allocator by an
// empty one, because what holders reported in an earlier term may be outdated. The caller holds the mutex.
func (s *slicer) leads() bool {
	status := s.control.replica.Status()
	if !status.IsLeader {
		return false
	}
	if status.Term != s.term {
		s.allocator, s.term = allocation.New(), status.Term
	}
	return true
}

// run plans slices and commits the plans until ctx ends.
func (s *slicer) run(ctx context.Context) error {
	ticker := time.NewTicker(slicePlanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.planOnce(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *slicer) planOnce(ctx context.Context) {
	plan := s.plan()
	if plan == nil || len(plan.Slices) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	cmd := &laburnumv1.Command{By: s.control.settings.Name, Kind: &laburnumv1.Command_Slices{Slices: plan}}
	result, err := s.control.propose(ctx, cmd)
	if err == nil && !result.Conflict {
		for _, slice := range plan.Slices {
			s.control.log.Info("slice", "team", slice.Team, "data_centre", slice.DataCentre, "permits", slice.Permits, "index", result.Index)
		}
		return
	}
	s.control.log.Warn("slice plan not applied", "error", err, "reason", result.GetReason())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allocator.ReplanAll()
}

func (s *slicer) plan() *laburnumv1.SlicePlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leads() {
		return nil
	}
	var plan *laburnumv1.SlicePlan
	s.control.store.Read(func(st *state.State) { plan = s.allocator.Plan(s.control.now(), st) })
	if s.allocator.HasTargets() {
		close(s.targetsChanged)
		s.targetsChanged = make(chan struct{})
	}
	return plan
}

// sync passes a holder's report to the allocator and returns the targets for its data centre. A report without news
// waits up to maxSliceSyncWait for targets.
func (s *slicer) sync(ctx context.Context, req *laburnumv1.SyncSlicesRequest) *laburnumv1.SyncSlicesResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leads() {
		return &laburnumv1.SyncSlicesResponse{}
	}
	if !req.Full && !s.allocator.HasLinesFrom(req.DataCentre, req.Holder) {
		return &laburnumv1.SyncSlicesResponse{Leader: true} // a response without a term asks the holder for a full report
	}
	s.allocator.Sync(s.control.now(), req)
	resp := &laburnumv1.SyncSlicesResponse{Leader: true, Term: s.term, Targets: s.allocator.TakeTargets(req.DataCentre)}
	if len(resp.Targets) > 0 || len(req.Lines) > 0 || req.Full {
		return resp
	}
	ctx, cancel := context.WithTimeout(ctx, maxSliceSyncWait)
	defer cancel()
	for len(resp.Targets) == 0 && ctx.Err() == nil && resp.Term == s.term {
		s.wait(ctx)
		resp.Targets = s.allocator.TakeTargets(req.DataCentre)
	}
	return resp
}

// wait releases the mutex until there may be new targets or ctx ends.
func (s *slicer) wait(ctx context.Context) {
	changed := s.targetsChanged
	s.mu.Unlock()
	defer s.mu.Lock()
	select {
	case <-changed:
	case <-ctx.Done():
	}
}

// sliceServer implements SliceService for the holders of the data centres' slices.
type sliceServer struct {
	slicer *slicer
}

// Sync implements SliceService.
func (s *sliceServer) Sync(ctx context.Context, req *laburnumv1.SyncSlicesRequest) (*laburnumv1.SyncSlicesResponse, error) {
	return s.slicer.sync(ctx, req), nil
}
