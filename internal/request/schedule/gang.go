package schedule

import (
	"cmp"
	"slices"

	"laburnumrouter/internal/request/ledger"
)

// placeGang plans starts for all tasks of a gang or for none. A RackLocal gang is placed on one rack if any rack has the
// capacity, otherwise on any servers.
func (p *planner) placeGang(c candidate) {
	step := &c.job.Steps[c.step]
	if !p.withinLimit(c.job.Workspace, step.Need.Times(step.Count)) {
		return
	}
	run := 1
	for i := range step.Count {
		run = max(run, taskRecord(c, i).Run+1)
	}
	if p.gangAwaitsResolution(c) {
		return
	}
	suspected := p.gangIsolates(c)
	allow := func(r *serverState) bool { return p.mayHost(r, c, suspected) }
	chosen := p.chooseGangServers(c, allow)
	if step.RackLocal {
		if sameRack := p.chooseGangOnRack(c, allow); sameRack != nil {
			chosen = sameRack
		}
	}
	for i, r := range chosen {
		p.start(c, i, run, r)
	}
}

// chooseGangOnRack returns a server for each task of a gang, all on one rack, or nil if no rack has the capacity. The
// rack of the data is tried first.
func (p *planner) chooseGangOnRack(c candidate, allow func(*serverState) bool) []*serverState {
	var racks []string
	for _, r := range p.serversByPool[c.pool] {
		if rack := r.server.Rack(); rack != "" && !slices.Contains(racks, rack) {
			racks = append(racks, rack)
		}
	}
	if dataRack := c.job.Steps[c.step].Rack; dataRack != "" {
		slices.SortStableFunc(racks, func(a, b string) int { return cmp.Compare(rackRank(a, dataRack), rackRank(b, dataRack)) })
	}
	for _, rack := range racks {
		if chosen := p.chooseGangServers(c, func(r *serverState) bool { return r.server.Rack() == rack && allow(r) }); chosen != nil {
			return chosen
		}
	}
	return nil
}

// rackRank returns the sort key that puts the rack of the data first.
func rackRank(rack, dataRack string) int {
	if rack == dataRack {
		return 0
	}
	return 1
}

// chooseGangServers returns a server for each task of a gang among the servers that allow accepts, or nil if they don't all fit. One
// that is suspect gets members only if the gang doesn't fit otherwise, and once its last failure is some time ago.
func (p *planner) chooseGangServers(c candidate, allow func(*serverState) bool) []*serverState {
	step := &c.job.Steps[c.step]
	tasksOn := make(map[string]int)
	allocated := make(map[*serverState]ledger.Resources)
	var chosen []*serverState
	for range step.Count {
		var best *serverState
		for _, r := range p.serversByPool[c.pool] {
			fits := step.CapacityUse().FitsIn(r.free.Minus(allocated[r])) && (step.Label == "" || r.server.Has(step.Label))
			withinSpread := step.Spread == 0 || tasksOn[r.server.ID] < step.Spread
			if !fits || !withinSpread || r.trialOnly && !r.cooledDown || !allow(r) || !r.carries(step, tasksOn[r.server.ID], r.free.Minus(allocated[r])) {
				continue
			}
			if best == nil || preferable(step, nil, r, best) {
				best = r
			}
		}
		if best == nil {
			return nil
		}
		chosen = append(chosen, best)
		allocated[best] = allocated[best].Plus(step.CapacityUse())
		tasksOn[best.server.ID]++
	}
	return chosen
}
