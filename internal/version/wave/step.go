package wave

import (
	"fmt"
	"sort"

	"google.golang.org/protobuf/proto"

	"laburnumrouter/internal/version/observed"
	"laburnumrouter/internal/version/roster"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// advanceReleased requests the reboot of released instances that waves have out, and returns those to service that
// came back and are healthy. If the plan was removed, an instance also returns without a reboot, after it has been up
// for Policy.RebootBound.
func (pl *planner) advanceReleased() {
	for _, id := range sortedNames(pl.Roster.OutOfService()) {
		a := pl.Roster.Get(id)
		if a.Wave == "" {
			continue
		}
		pl.outInstances = append(pl.outInstances, a)
		if a.State != released {
			continue
		}
		i := pl.Fleet.Instances[id]
		planExists := pl.State.Maintenance[a.Wave] != nil
		switch {
		case pl.rebooted(a, i):
			pl.endMaintenance(a, i, pl.Now.Unix(), "maintained")
		case planExists && (i == nil || i.View.Incarnation <= a.Incarnation):
			pl.actions.Reboots = append(pl.actions.Reboots, newReboot(a))
		case !planExists && i.UpFor(pl.Now) >= pl.policy.RebootBound:
			pl.endMaintenance(a, i, a.MaintainedUnix, "the plan was removed and no reboot came")
		}
	}
}

// rebooted reports whether an instance came back with a later incarnation and has been up for Policy.HealthyFor.
func (pl *planner) rebooted(a *laburnumv1.Assignment, i *observed.Instance) bool {
	return i != nil && i.View.Incarnation > a.Incarnation && i.UpFor(pl.Now) >= pl.policy.HealthyFor
}

// newReboot returns the request to reboot a released instance. The ID is derived from the epoch of the release, so
// that a repeated request causes no second reboot.
func newReboot(a *laburnumv1.Assignment) Reboot {
	return Reboot{Instance: a.Instance, DataCentre: a.DataCentre, Wave: a.Wave, ID: fmt.Sprintf("%s-%s-%d", a.Wave, a.Instance, a.Epoch)}
}

// endMaintenance returns an instance to its pool. If the pool no longer exists, the instance stays released and is
// free for another pool.
func (pl *planner) endMaintenance(a *laburnumv1.Assignment, i *observed.Instance, maintainedUnix int64, reason string) {
	to := proto.Clone(a).(*laburnumv1.Assignment)
	to.Wave = ""
	to.RemovedReason = reason
	if pl.State.Pools[a.Pool] != nil {
		to.State = assigned
		to.MaintainedUnix = maintainedUnix
		to.Incarnation = i.View.Incarnation
	}
	pl.actions.Assignments.Steps = append(pl.actions.Assignments.Steps, &laburnumv1.AssignmentStep{ExpectedEpoch: a.Epoch, To: to})
}

// drainNextStep drains due instances, rack by rack, as many as the budgets, the plan's MaxStep and the rule of one
// data centre at a time allow.
func (pl *planner) drainNextStep(plan *laburnumv1.Maintenance, p *progress) {
	remaining := len(p.due)
	if plan.MaxStep != 0 {
		remaining = int(plan.MaxStep) - p.outOfService
	}
	if remaining <= 0 || len(p.due) == 0 {
		return
	}
	pl.ensureBudget()
	for _, group := range pl.drainOrder(p.due) {
		for _, a := range group {
			if remaining == 0 {
				return
			}
			if pl.drainIfAllowed(plan, a) {
				remaining--
			}
		}
	}
}

// drainIfAllowed drains an instance if it is up and the budgets allow that, and reports whether it did.
func (pl *planner) drainIfAllowed(plan *laburnumv1.Maintenance, a *laburnumv1.Assignment) bool {
	i := pl.Fleet.Instances[a.Instance]
	if i == nil || !i.Up(pl.Now) || pl.budget.AllowDrain(a) != nil {
		return false
	}
	to := proto.Clone(a).(*laburnumv1.Assignment)
	to.State = draining
	to.Wave = plan.Name
	to.NextPool = ""
	to.RemovedReason = ""
	pl.actions.Assignments.Steps = append(pl.actions.Assignments.Steps, &laburnumv1.AssignmentStep{ExpectedEpoch: a.Epoch, To: to})
	pl.outInstances = append(pl.outInstances, to)
	return true
}

func (pl *planner) ensureBudget() {
	if pl.budget != nil {
		return
	}
	pl.actions.Assignments.Unavailable = pl.Unavailable(sortedNames(pl.State.Pools)...)
	pl.budget = roster.NewBudget(pl.Roster, pl.State.Pools, pl.actions.Assignments.Unavailable)
}

// drainOrder groups by rack the due instances of the one data centre that may have instances out. Racks with the most
// instances out come first, then those with the most due instances.
func (pl *planner) drainOrder(due []*laburnumv1.Assignment) [][]*laburnumv1.Assignment {
	dataCentre := pl.chooseDataCentre(due)
	outPerRack := make(map[roster.Domain]int)
	for _, a := range pl.outInstances {
		outPerRack[roster.DomainOf(a)]++
	}
	racks := make(map[roster.Domain][]*laburnumv1.Assignment)
	for _, a := range due {
		if a.DataCentre == dataCentre {
			racks[roster.DomainOf(a)] = append(racks[roster.DomainOf(a)], a)
		}
	}
	groups := make([][]*laburnumv1.Assignment, 0, len(racks))
	for _, group := range racks {
		sort.Slice(group, func(i, j int) bool { return group[i].Instance < group[j].Instance })
		groups = append(groups, group)
	}
	sort.Slice(groups, func(i, j int) bool {
		a, b := groups[i], groups[j]
		if x, y := outPerRack[roster.DomainOf(a[0])], outPerRack[roster.DomainOf(b[0])]; x != y {
			return x > y
		}
		if len(a) != len(b) {
			return len(a) > len(b)
		}
		return a[0].Instance < b[0].Instance
	})
	return groups
}

// chooseDataCentre returns the data centre where waves already have instances out, else the one with the most due.
func (pl *planner) chooseDataCentre(due []*laburnumv1.Assignment) string {
	if len(pl.outInstances) > 0 {
		return pl.outInstances[0].DataCentre
	}
	counts := make(map[string]int)
	for _, a := range due {
		counts[a.DataCentre]++
	}
	best := ""
	for _, name := range sortedNames(counts) {
		if best == "" || counts[name] > counts[best] {
			best = name
		}
	}
	return best
}
