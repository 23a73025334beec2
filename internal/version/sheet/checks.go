package sheet

import (
	"fmt"
	"time"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// checkTotals records the faults that no single row shows: totals above their bound and maintenance windows that
// overlap.
func (p *parser) checkTotals() {
	var instances, shares uint64
	for _, pool := range p.cfg.Pools {
		instances += uint64(pool.Instances)
	}
	for _, workspace := range p.cfg.Teams {
		shares += uint64(workspace.Share)
	}
	if instances > maxCount {
		p.fault(1, "instances", fmt.Sprint(instances), "all pools together have at most %d instances", maxCount)
	}
	if shares > maxCount {
		p.fault(1, "share", fmt.Sprint(shares), "the shares of all workspaces add up to at most %d", maxCount)
	}
	p.checkMaintenanceOverlaps()
}

// checkMaintenanceOverlaps records a fault for every pair of maintenance windows of the same pool that overlap. A
// window without a pool applies to all pools.
func (p *parser) checkMaintenanceOverlaps() {
	for i, a := range p.cfg.Maintenance {
		for _, b := range p.cfg.Maintenance[:i] {
			samePool := a.Pool == b.Pool || a.Pool == "" || b.Pool == ""
			if samePool && a.StartUnix < b.EndUnix && b.StartUnix < a.EndUnix {
				p.fault(p.definedInRow["maintenance "+a.Name], "start", time.Unix(a.StartUnix, 0).UTC().Format(time.RFC3339),
					"overlaps maintenance %s of the same pool in row %d", b.Name, p.definedInRow["maintenance "+b.Name])
			}
		}
	}
}

// Warnings lists settings of a valid configuration that are probably mistakes.
func Warnings(cfg *laburnumv1.Configuration) []string {
	var list []string
	warn := func(format string, args ...any) { list = append(list, fmt.Sprintf(format, args...)) }
	pools := make(map[string]*laburnumv1.Pool, len(cfg.Pools))
	for _, pool := range cfg.Pools {
		pools[pool.Name] = pool
	}
	hasAccess := make(map[string]bool)
	for _, key := range cfg.Keys {
		hasAccess[key.Team] = true
	}
	hasQueue := make(map[string]bool)
	for _, queue := range cfg.Queues {
		hasQueue[queue.Pool] = true
		hasAccess[queue.Team] = true
		if pools[queue.Pool].GetInstances() == 0 {
			warn("queue %s leads to pool %s, which has 0 instances in the sheet", queue.Name, queue.Pool)
		}
	}
	for _, workspace := range cfg.Teams {
		if !hasAccess[workspace.Name] {
			warn("workspace %s has neither a key nor an open queue: it can send nothing", workspace.Name)
		}
	}
	for _, share := range cfg.Shares {
		if !hasQueue[share.Pool] {
			warn("the share of workspace %s in pool %s has no effect: no queue leads there", share.Team, share.Pool)
		}
	}
	return list
}
