package entry

import (
	"sync"
	"time"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// useLifetime is how long a scheduler's report of the grants in use is counted.
const useLifetime = 5 * time.Second

// nodeUse is the latest report of one scheduler: the grants in use that it issued.
type nodeUse struct {
	use *laburnumv1.NodeUse
	at  time.Time // time of the report on this process's clock
}

// grantsInUseTable holds the numbers of grants in use at all schedulers of the fleet, by pool and workspace, so that workspaces'
// shares apply to the whole fleet. It is safe for concurrent use.
type grantsInUseTable struct {
	mu    sync.Mutex
	nodes map[string]nodeUse
}

func newGrantsInUseTable() *grantsInUseTable {
	return &grantsInUseTable{nodes: make(map[string]nodeUse)}
}

// merge adds reports that are newer than the known ones of the same scheduler.
func (u *grantsInUseTable) merge(list []*laburnumv1.NodeUse, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, n := range list {
		at := now.Add(-time.Duration(n.AgeMs) * time.Millisecond)
		if at.After(u.nodes[n.Node].at) {
			u.nodes[n.Node] = nodeUse{use: n, at: at}
		}
	}
}

// fresh returns the reports younger than useLifetime that keep selects.
func (u *grantsInUseTable) fresh(now time.Time, keep func(*laburnumv1.NodeUse) bool) []*laburnumv1.NodeUse {
	u.mu.Lock()
	defer u.mu.Unlock()
	var list []*laburnumv1.NodeUse
	for _, n := range u.nodes {
		age := now.Sub(n.at)
		if age < useLifetime && keep(n.use) {
			list = append(list, &laburnumv1.NodeUse{
				Node: n.use.Node, DataCentre: n.use.DataCentre, Pools: n.use.Pools, AgeMs: wholeMilliseconds(age),
			})
		}
	}
	return list
}

// grantsInUseFor returns the reports to send to a peer in a data centre: those of the own data centre if the peer is in
// another one, those of the other data centres if it is in this one, and always the report of this scheduler.
func (e *Entry) grantsInUseFor(dataCentre string, now time.Time) []*laburnumv1.NodeUse {
	own := e.settings.DataCentre
	list := e.grantsInUse.fresh(now, func(n *laburnumv1.NodeUse) bool {
		return n.Node != e.settings.Name && (n.DataCentre == own) != (dataCentre == own)
	})
	if pools := e.queue.RunningByPool(); len(pools) > 0 {
		list = append(list, &laburnumv1.NodeUse{Node: e.settings.Name, DataCentre: own, Pools: pools})
	}
	return list
}

// mergeGrantsInUse records reports of schedulers and updates the queue's counts of what runs in other data centres.
func (e *Entry) mergeGrantsInUse(list []*laburnumv1.NodeUse, now time.Time) {
	e.grantsInUse.merge(list, now)
	remote := make(map[string]map[string]int)
	for _, n := range e.grantsInUse.fresh(now, func(n *laburnumv1.NodeUse) bool { return n.DataCentre != e.settings.DataCentre }) {
		for _, p := range n.Pools {
			if remote[p.Pool] == nil {
				remote[p.Pool] = make(map[string]int)
			}
			for _, t := range p.Teams {
				remote[p.Pool][t.Team] += int(t.Running)
			}
		}
	}
	e.queue.SetRemoteRunning(remote)
}
