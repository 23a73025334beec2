package capacity

import (
	"fmt"
	"math"
	"slices"
	"sort"

	"laburnumrouter/internal/version/roster"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// Rebalance plans the drains of instances that should move to another pool: from the spare pool and from pools
// with a lasting surplus to pools with a lasting shortage, and back once the demand is over. Every pool that gives
// up instances keeps its availability budget, now and after the loss of one further rack.
func Rebalance(in *Input, f *Forecast, p Policy) *laburnumv1.AssignmentPlan {
	f.Observe(in.Fleet.Demand(in.Now), in.Now)
	r := &rebalancer{Input: in, policy: p, forecast: f, plan: &laburnumv1.AssignmentPlan{}}
	r.computeNeeds()
	r.fillShortages()
	r.returnSurplus()
	return r.plan
}

// rebalancer holds the state of one call of Rebalance.
type rebalancer struct {
	*Input
	policy   Policy
	forecast *Forecast
	plan     *laburnumv1.AssignmentPlan
	pools    []*poolNeed
	budget   *roster.Budget
}

// poolNeed compares what a pool has with what it needs, in instances.
type poolNeed struct {
	*laburnumv1.Pool
	forecast         *poolForecast
	current          int // assigned members and those that are moving to the pool
	required         int // instances for the forecast demand, at most max_instances
	configured       int // size of the pool in the sheet
	slotsPerInstance float64
}

func (n *poolNeed) shortage() int { return n.required - n.current }

// surplus returns how many instances the pool can lend: those that neither demand nor min_available requires.
func (n *poolNeed) surplus() int { return n.current - max(n.required, int(n.MinAvailable)) }

func (r *rebalancer) computeNeeds() {
	incoming := make(map[string]int)
	for _, a := range r.Roster.OutOfService() {
		if a.Wave == "" && a.NextPool != "" {
			incoming[a.NextPool]++
		}
	}
	for _, name := range sortedIDs(r.State.Pools) {
		n := r.needOf(r.State.Pools[name], incoming[name])
		short := n.shortage() > 0 && float64(n.forecast.waiting)/n.slotsPerInstance >= r.policy.MinWaiting
		n.forecast.shortageSince = startOf(n.forecast.shortageSince, short, r.Now)
		n.forecast.surplusSince = startOf(n.forecast.surplusSince, n.surplus() > 0, r.Now)
		r.pools = append(r.pools, n)
	}
}

// needOf returns what a pool has and needs. Assigned members that are not up are subtracted only if work is waiting:
// a pool that lends needs no such correction, as its budget is checked again for each instance that it gives up.
func (r *rebalancer) needOf(pool *laburnumv1.Pool, incoming int) *poolNeed {
	serving, slots := r.Roster.AssignedTotals(pool.Name)
	n := &poolNeed{Pool: pool, forecast: r.forecast.pool(pool.Name), current: serving + incoming, configured: int(pool.Instances)}
	n.slotsPerInstance = float64(max(slots, 1)) / float64(max(serving, 1))
	if pool.Spare {
		return n
	}
	if n.forecast.waiting > 0 {
		n.current -= r.countNotUp(pool.Name)
	}
	n.required = max(1, int(math.Ceil(n.forecast.slots/(n.slotsPerInstance*r.policy.Utilisation))))
	if pool.MaxInstances > 0 {
		n.required = min(n.required, int(pool.MaxInstances))
	}
	return n
}

// countNotUp returns the number of assigned members of a pool that are not up.
func (r *rebalancer) countNotUp(pool string) int {
	n := 0
	for id, a := range r.Roster.Members(pool) {
		if i := r.Fleet.Instances[id]; a.State == assigned && (i == nil || !i.Up(r.Now)) {
			n++
		}
	}
	return n
}

// fillShortages moves instances to the pools with a lasting shortage, the one with the lowest coverage first.
func (r *rebalancer) fillShortages() {
	var short []*poolNeed
	for _, n := range r.pools {
		if n.shortage() > 0 && heldFor(n.forecast.shortageSince, r.Now, r.policy.GrowAfter) {
			short = append(short, n)
		}
	}
	sort.SliceStable(short, func(i, j int) bool { return short[i].coverage() < short[j].coverage() })
	for _, n := range short {
		for n.shortage() > 0 && r.moveOneTo(n) {
			n.current++
		}
	}
}

// coverage returns the fraction of the required instances that the pool has.
func (n *poolNeed) coverage() float64 { return float64(n.current) / float64(n.required) }

// moveOneTo moves one instance to a pool: from a spare pool if possible, else from the pool with the largest
// surplus that its budget lets it lend. It returns false if no pool can lend one.
func (r *rebalancer) moveOneTo(to *poolNeed) bool {
	var lenders []*poolNeed
	for _, n := range r.pools {
		spareLends := n.Spare && n.current > 0
		surplusLends := !n.Spare && n.surplus() > 0 && heldFor(n.forecast.surplusSince, r.Now, r.policy.LendAfter)
		if n != to && (spareLends || surplusLends) {
			lenders = append(lenders, n)
		}
	}
	sort.SliceStable(lenders, func(i, j int) bool {
		if lenders[i].Spare != lenders[j].Spare {
			return lenders[i].Spare
		}
		return lenders[i].surplus() > lenders[j].surplus()
	})
	for _, from := range lenders {
		reason := fmt.Sprintf("%s has %d of %d needed, %d waiting", to.Name, to.current, to.required, to.forecast.waiting)
		if r.planMove(from, to, reason) {
			return true
		}
	}
	return false
}

// returnSurplus moves instances back from pools above their size in the sheet to pools below theirs.
func (r *rebalancer) returnSurplus() {
	for _, from := range r.pools {
		excess := min(from.current-from.configured, from.surplus())
		if from.Spare || excess <= 0 || !heldFor(from.forecast.surplusSince, r.Now, r.policy.ReturnAfter) {
			continue
		}
		for range excess {
			to := r.neediestPool()
			if to == nil || !r.planMove(from, to, "demand is over") {
				break
			}
			to.current++
		}
	}
}

// neediestPool returns the pool that is furthest below its size in the sheet, or nil if none is below; serving
// pools come before spare ones.
func (r *rebalancer) neediestPool() *poolNeed {
	var best *poolNeed
	for _, n := range r.pools {
		if n.current >= n.configured {
			continue
		}
		if best == nil || (best.Spare && !n.Spare) || (best.Spare == n.Spare && n.configured-n.current > best.configured-best.current) {
			best = n
		}
	}
	return best
}

// planMove plans the drain of one instance that is to move from one pool to another. It returns false if the plan
// is full or no instance may leave the pool.
func (r *rebalancer) planMove(from, to *poolNeed, reason string) bool {
	if len(r.plan.Steps) >= r.policy.MaxMoves {
		return false
	}
	a := r.selectInstance(from, to)
	if a == nil {
		return false
	}
	s := step(a, draining, reason)
	s.To.NextPool = to.Name
	r.plan.Steps = append(r.plan.Steps, s)
	from.current--
	return true
}

// selectInstance returns an instance that may leave a pool, or nil. It tries the racks with the most candidates
// first, so that the remaining members stay spread over racks.
func (r *rebalancer) selectInstance(from, to *poolNeed) *laburnumv1.Assignment {
	r.ensureBudget()
	racks := make(map[roster.Domain][]*laburnumv1.Assignment)
	members := r.Roster.Members(from.Name)
	for _, id := range sortedIDs(members) {
		a := members[id]
		i := r.Fleet.Instances[id]
		ready := r.budget.Available(a) && i != nil && i.Up(r.Now)
		if ready && (to.Spare || slices.Contains(a.Services, to.Service)) {
			racks[roster.DomainOf(a)] = append(racks[roster.DomainOf(a)], a)
		}
	}
	domains := make([]roster.Domain, 0, len(racks))
	for d := range racks {
		domains = append(domains, d)
	}
	sort.Slice(domains, func(i, j int) bool {
		a, b := domains[i], domains[j]
		if len(racks[a]) != len(racks[b]) {
			return len(racks[a]) > len(racks[b])
		}
		return a.DataCentre+"\x00"+a.Rack < b.DataCentre+"\x00"+b.Rack
	})
	for _, d := range domains {
		if a := racks[d][0]; r.budget.AllowDrain(a) == nil {
			return a
		}
	}
	return nil
}

func (r *rebalancer) ensureBudget() {
	if r.budget == nil {
		r.plan.Unavailable = r.Unavailable(sortedIDs(r.State.Pools)...)
		r.budget = roster.NewBudget(r.Roster, r.State.Pools, r.plan.Unavailable)
	}
}
