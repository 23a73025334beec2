package schedule

import "cmp"

// crowding tells how the tasks of a lasting step are distributed, so that the end of one server, or of one rack, takes few of them.
type crowding struct {
	// onServer and onRack count the step's tasks by server ID and by rack.
	onServer, onRack map[string]int
}

// crowdingOf returns the crowding of a candidate's step; nil for other than lasting tasks, and for gangs, which end together anyway.
// tasksOn is the number of the step's tasks on each server.
func (p *planner) crowdingOf(c candidate, tasksOn map[string]int) *crowding {
	step := &c.job.Steps[c.step]
	if !step.Lasting || step.Gang {
		return nil
	}
	k := &crowding{onServer: tasksOn, onRack: make(map[string]int)}
	for id, n := range tasksOn {
		if server := p.Fleet.Get(id); server != nil {
			k.onRack[server.Rack()] += n
		}
	}
	return k
}

// compareForLasting compares two servers for a lasting task; the result is negative if a is preferred. The criteria in order are: one
// whose machine has no upkeep before it, the fewest tasks of the step on it and on its rack, and one that already runs lasting
// tasks, so that others can be moved or taken down.
func (k *crowding) compareForLasting(a, b *serverState) int {
	first := func(favoured, other bool) int {
		switch {
		case favoured == other:
			return 0
		case favoured:
			return -1
		}
		return 1
	}
	notDue, hasLasting := first(!a.due, !b.due), first(a.hasLasting, b.hasLasting)
	if k == nil {
		return cmp.Or(notDue, hasLasting)
	}
	x, y := a.server, b.server
	return cmp.Or(
		notDue,
		cmp.Compare(k.onServer[x.ID], k.onServer[y.ID]),
		cmp.Compare(k.onRack[x.Rack()], k.onRack[y.Rack()]),
		hasLasting,
	)
}
