// Package allocation splits the limits of workspaces over data centres according to the need that the holders of the
// slices report.
package allocation

import (
	"sort"
	"time"

	"laburnumrouter/internal/process/escrow"
	"laburnumrouter/internal/version/state"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// syncLifetime is how long a data centre counts as reachable after a message from its holder.
const syncLifetime = 5 * time.Second

// Allocator runs on the leader of the control log and decides how workspace limits are split over data centres. It is
// deterministic and not safe for concurrent use.
//
// It never takes permits away from a data centre: it asks the holder to limit itself to a target, and moves only
// permits that the holder has released. A data centre that it does not hear from keeps its slices.
type Allocator struct {
	dataCentres map[string]*dataCentre
	dirty       map[string]bool // workspaces whose split must be computed again
	lastInputs  planInputs      // inputs for which the split of every workspace was last computed
}

// planInputs identifies the inputs that are common to the splits of all workspaces; the slices of a single workspace and the
// reports on them are left out. The zero value equals no real inputs.
type planInputs struct {
	valid  bool
	sheet  uint64
	groups uint64 // sum of the epochs; each epoch only increases, so that every change of one changes the sum
}

func inputsOf(s *state.State) planInputs {
	b := planInputs{valid: true, sheet: s.SheetNumber}
	for _, g := range s.RecordGroups {
		b.groups += g.GetEpoch()
	}
	return b
}

type dataCentre struct {
	holder   string
	lastSync time.Time
	lines    map[string]*laburnumv1.SliceLine // last report on each slice, by workspace
	targets  map[string]*laburnumv1.SliceTarget
}

// New returns an allocator that has not heard from any holder yet. Each new leader starts with one.
func New() *Allocator {
	return &Allocator{dataCentres: make(map[string]*dataCentre), dirty: make(map[string]bool)}
}

// Sync records what a holder reports of its slices, one line for each workspace. The holder must be the one that the
// state names.
func (a *Allocator) Sync(now time.Time, req *laburnumv1.SyncSlicesRequest) {
	dc := a.dataCentres[req.DataCentre]
	if dc == nil || dc.holder != req.Holder || req.Full {
		dc = &dataCentre{
			holder:  req.Holder,
			lines:   make(map[string]*laburnumv1.SliceLine),
			targets: make(map[string]*laburnumv1.SliceTarget),
		}
		a.dataCentres[req.DataCentre] = dc
		a.lastInputs = planInputs{} // all workspaces are split again
	}
	if now.Sub(dc.lastSync) >= syncLifetime {
		a.lastInputs = planInputs{}
	}
	dc.lastSync = now
	for _, line := range req.Lines {
		dc.lines[line.Team] = line
		a.dirty[line.Team] = true
	}
}

// HasLinesFrom reports whether the allocator has the lines of a data centre from this holder. If not, the holder must
// send all of them.
func (a *Allocator) HasLinesFrom(name, holder string) bool {
	dc := a.dataCentres[name]
	return dc != nil && dc.holder == holder
}

// HasTargets reports whether any data centre has targets that were not fetched yet.
func (a *Allocator) HasTargets() bool {
	for _, dc := range a.dataCentres {
		if len(dc.targets) > 0 {
			return true
		}
	}
	return false
}

// ReplanAll makes the next plan split all workspaces again. It is called after a plan was not applied.
func (a *Allocator) ReplanAll() { a.lastInputs = planInputs{} }

// TakeTargets returns the targets for a data centre and removes them.
func (a *Allocator) TakeTargets(name string) []*laburnumv1.SliceTarget {
	dc := a.dataCentres[name]
	if dc == nil || len(dc.targets) == 0 {
		return nil
	}
	list := make([]*laburnumv1.SliceTarget, 0, len(dc.targets))
	for _, t := range dc.targets {
		list = append(list, t)
	}
	clear(dc.targets)
	return list
}

// Plan returns the changes of slices that can be made now, and sets targets for the holders.
func (a *Allocator) Plan(now time.Time, s *state.State) *laburnumv1.SlicePlan {
	if current := inputsOf(s); a.lastInputs != current {
		a.lastInputs = current
		for workspace := range s.Workspaces {
			a.dirty[workspace] = true
		}
		for id := range s.Slices {
			a.dirty[id.Workspace] = true
		}
	}
	plan := &laburnumv1.SlicePlan{}
	pending := a.dirty
	a.dirty = make(map[string]bool)
	for workspace := range pending {
		t := &workspacePlan{workspace: workspace, limit: int(s.Workspaces[workspace].GetLimit())}
		a.collectHoldings(now, s, t)
		slices := t.plan(now)
		plan.Slices = append(plan.Slices, slices...)
		// A workspace whose slices change is split again by the next plan, once the change is applied.
		if t.scarce || len(slices) > 0 {
			a.dirty[workspace] = true
		}
	}
	return plan
}

// workspacePlan is the split of one workspace's limit.
type workspacePlan struct {
	workspace          string
	limit              int
	unreachablePermits int // held by data centres that are not reachable
	holdings           []*holding
	// scarce is true if a data centre needs permits and holds none. Balance changes its split with time alone, so the
	// workspace is planned again each time.
	scarce bool
}

// holding is the part of a limit that a reachable data centre holds.
type holding struct {
	name  string
	dc    *dataCentre
	slice *laburnumv1.Slice
	held  int // what the holder has limited itself to
	need  int
}

func (a *Allocator) collectHoldings(now time.Time, s *state.State, t *workspacePlan) {
	names := make([]string, 0, len(s.RecordGroups))
	for name := range s.RecordGroups {
		names = append(names, name)
	}
	names = append(names, state.JobsSlice)
	sort.Strings(names)
	for _, name := range names {
		slice := s.Slices[state.SliceID{Workspace: t.workspace, DataCentre: name}]
		dc := a.dataCentres[name]
		members := s.RecordGroups[name].GetMembers()
		if name == state.JobsSlice {
			members = []string{state.JobsSlice} // the leader itself holds the slice for jobs
		}
		heard := dc != nil && len(members) > 0 && dc.holder == members[0] && now.Sub(dc.lastSync) < syncLifetime
		if !heard {
			t.unreachablePermits += int(slice.GetPermits())
			continue
		}
		p := &holding{name: name, dc: dc, slice: slice, held: int(slice.GetPermits())}
		if line := dc.lines[t.workspace]; line != nil {
			p.need = int(line.Need)
			if line.Incarnation == slice.GetIncarnation() {
				p.held = min(p.held, int(line.Held))
			}
		}
		t.holdings = append(t.holdings, p)
	}
}

// plan lowers slices by the permits that their holders have released, and raises others by the permits that are
// free.
func (t *workspacePlan) plan(now time.Time) []*laburnumv1.Slice {
	claims := make([]escrow.Claim, len(t.holdings))
	free := t.limit - t.unreachablePermits
	for i, p := range t.holdings {
		claims[i] = escrow.Claim{Held: p.held, Need: p.need}
		free -= p.held
		t.scarce = t.scarce || (p.need > 0 && p.held == 0)
	}
	targets := escrow.Balance(t.limit-t.unreachablePermits, claims, now)
	var slices []*laburnumv1.Slice
	for i, p := range t.holdings {
		extra := min(max(targets[i]-p.held, 0), max(free, 0))
		free -= extra
		if newPermits := p.held + extra; newPermits != int(p.slice.GetPermits()) {
			slices = append(slices, &laburnumv1.Slice{
				Team: t.workspace, DataCentre: p.name, Permits: uint32(newPermits),
				Incarnation: p.slice.GetIncarnation(), Holder: p.dc.holder,
			})
		}
		p.setTarget(t.workspace, targets[i])
	}
	return slices
}

// setTarget asks the holder to limit itself to target. A target that is not below what it holds only withdraws the
// earlier one.
func (p *holding) setTarget(workspace string, target int) {
	if target >= p.held {
		delete(p.dc.targets, workspace)
		return
	}
	p.dc.targets[workspace] = &laburnumv1.SliceTarget{Team: workspace, Incarnation: p.slice.GetIncarnation(), Permits: uint32(target)}
}
