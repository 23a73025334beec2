package control

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sort"

	"laburnumrouter/internal/version/machine"
	"laburnumrouter/internal/version/state"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// Status implements OperatorService. It needs no quorum: the response holds what this instance knows.
func (o *operatorServer) Status(_ context.Context, req *laburnumv1.StatusRequest) (*laburnumv1.StatusResponse, error) {
	if req.Summary {
		return o.control.summary(), nil
	}
	return o.control.status(), nil
}

// summary returns the state of the log and of the configuration in force, as far as this instance knows it.
func (c *Control) summary() *laburnumv1.StatusResponse {
	log := c.replica.Status()
	return &laburnumv1.StatusResponse{
		Node:           log.Node,
		Leader:         log.Leader,
		Term:           log.Term,
		CommittedIndex: log.Committed,
		HasQuorum:      log.QuorumAlive,
		Voters:         log.Voters,
		Learners:       log.Learners,
		DataCentres:    c.fleet.dataCentreStatuses(c.now()),
		SheetNumber:    c.store.View().SheetNumber,
	}
}

// status returns the summary together with the state of pools, workspaces and waves, as far as this instance knows it.
func (c *Control) status() *laburnumv1.StatusResponse {
	resp := c.summary()
	now := c.now()
	waitingByPool, runningByWorkspace := c.fleet.waitingByPoolAndRunningByWorkspace()
	runningByPool := c.fleet.runningRequestsByPool()
	seen := c.fleet.recentInstances(now)
	c.store.Read(func(s *state.State) {
		resp.Pools = poolStatus(s, seen, waitingByPool, runningByPool)
		resp.Teams = workspaceStatus(s, runningByWorkspace)
		resp.Waves = sortedWaves(s)
	})
	c.machine.read(func(m *machine.Machine) { resp.OpenJobs = openJobs(m.Jobs) })
	return resp
}

// openJobs counts the jobs that have not ended by team and pool.
func openJobs(jobs map[string]*laburnumv1.Job) []*laburnumv1.OpenJobs {
	type owner struct{ team, pool string }
	counts := make(map[owner]*laburnumv1.OpenJobs)
	for _, j := range jobs {
		if machine.Ended(j.State) {
			continue
		}
		at := owner{j.Team, j.Pool}
		if counts[at] == nil {
			counts[at] = &laburnumv1.OpenJobs{Team: j.Team, Pool: j.Pool}
		}
		counts[at].Jobs++
		if machine.OccupiesWorker(j.State) {
			counts[at].Tasks++
		}
	}
	return slices.SortedFunc(maps.Values(counts), func(a, b *laburnumv1.OpenJobs) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Pool, b.Pool))
	})
}

// runningRequestsByPool sums the running requests of each pool over all entries.
func (f *fleet) runningRequestsByPool() map[string]uint32 {
	f.mu.Lock()
	defer f.mu.Unlock()
	byPool := make(map[string]uint32)
	for _, e := range f.observed.Entries {
		for _, p := range e.Report.Pools {
			byPool[p.Pool] += p.Running
		}
	}
	return byPool
}

func poolStatus(s *state.State, seen []*laburnumv1.InstanceView, waiting, running map[string]uint32) []*laburnumv1.PoolStatus {
	heardAndStaying := make(map[string]bool, len(seen))
	for _, v := range seen {
		heardAndStaying[v.Instance] = !v.Leaving
	}
	pools := make(map[string]*laburnumv1.PoolStatus, len(s.Pools))
	for name, p := range s.Pools {
		pools[name] = &laburnumv1.PoolStatus{Pool: name, Wanted: p.Instances, Waiting: waiting[name], Running: running[name], BudgetLeft: -int32(p.MinAvailable)}
	}
	for _, a := range s.Assignments {
		if p := pools[a.Pool]; p != nil {
			countInstance(p, a, heardAndStaying[a.Instance])
		}
	}
	list := make([]*laburnumv1.PoolStatus, 0, len(pools))
	for _, p := range pools {
		list = append(list, p)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Pool < list[j].Pool })
	return list
}

func countInstance(p *laburnumv1.PoolStatus, a *laburnumv1.Assignment, heardAndStaying bool) {
	p.Assigned++
	switch {
	case !heardAndStaying:
		p.Failed++
	case a.State == laburnumv1.AssignmentState_ASSIGNMENT_STATE_ASSIGNED:
		p.Serving++
		p.BudgetLeft++
	default:
		p.Draining++
	}
}

func workspaceStatus(s *state.State, running map[string]uint32) []*laburnumv1.TeamStatus {
	held := slicesByWorkspace(s)
	list := make([]*laburnumv1.TeamStatus, 0, len(s.Workspaces))
	for name, t := range s.Workspaces {
		list = append(list, &laburnumv1.TeamStatus{
			Team: name, Share: t.Share, Limit: t.Limit, Running: running[name], WhenCutOff: t.WhenCutOff, Slices: held[name],
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Team < list[j].Team })
	return list
}

// slicesByWorkspace returns the slices of each workspace, sorted by data centre.
func slicesByWorkspace(s *state.State) map[string][]*laburnumv1.Slice {
	byWorkspace := make(map[string][]*laburnumv1.Slice)
	for id, slice := range s.Slices {
		byWorkspace[id.Workspace] = append(byWorkspace[id.Workspace], slice)
	}
	for _, list := range byWorkspace {
		sort.Slice(list, func(i, j int) bool { return list[i].DataCentre < list[j].DataCentre })
	}
	return byWorkspace
}

func sortedWaves(s *state.State) []*laburnumv1.Wave {
	list := make([]*laburnumv1.Wave, 0, len(s.Waves))
	for _, w := range s.Waves {
		list = append(list, w)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}
