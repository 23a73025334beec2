package limits

import (
	"fmt"
	"time"

	"laburnumrouter/internal/version/allocation"
	"laburnumrouter/internal/version/state"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
	"laburnumrouter/test/measure/recorder"
)

const (
	planWorkspaces  = 660
	planDataCentres = 10
	planRounds      = 200
)

// measurePlan times the leader's slice plan for a fleet of the size to design for: the first plan for all workspaces, and
// plans after the need of a single workspace has changed.
func measurePlan(r *recorder.Recorder) {
	now := time.Unix(0, 0)
	s := state.New()
	s.Index = 1
	allocator := allocation.New()
	for d := range planDataCentres {
		name := fmt.Sprintf("dc%d", d)
		s.RecordGroups[name] = &laburnumv1.RecordGroup{DataCentre: name, Members: []string{name + "-e.1"}}
	}
	for t := range planWorkspaces {
		name := fmt.Sprintf("team-%d", t)
		s.Workspaces[name] = &laburnumv1.Team{Name: name, Limit: 100}
	}
	syncSlices := func(d int, full bool, lines ...*laburnumv1.SliceLine) {
		name := fmt.Sprintf("dc%d", d)
		allocator.Sync(now, &laburnumv1.SyncSlicesRequest{DataCentre: name, Holder: name + "-e.1", Full: full, Lines: lines})
	}
	for d := range planDataCentres {
		syncSlices(d, true)
	}
	begin := time.Now()
	plan := allocator.Plan(now, s)
	all := time.Since(begin)
	for _, slice := range plan.Slices {
		slice.Incarnation = 2
		s.Slices[state.SliceID{Workspace: slice.Team, DataCentre: slice.DataCentre}] = slice
	}
	allocator.Plan(now, s)
	begin = time.Now()
	for i := range planRounds {
		syncSlices(i%planDataCentres, false, &laburnumv1.SliceLine{Team: "team-7", Incarnation: 2, Held: 10, Need: uint32(i)})
		allocator.Plan(now, s)
	}
	one := time.Since(begin) / planRounds
	r.Add(recorder.Figure{
		Area: area, Name: fmt.Sprintf("leader's decision on one of %d workspaces, %d data centres", planWorkspaces, planDataCentres), Unit: "us",
		Value: float64(one.Nanoseconds()) / 1e3, Baseline: float64(all.Nanoseconds()) / 1e3, BaselineName: "decision on all teams",
		Better: recorder.Lower,
	})
}
