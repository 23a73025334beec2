package roster

import (
	"github.com/zeebo/errs"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// ErrBudget is the class of errors for drains that an availability budget forbids.
var ErrBudget = errs.Class("budget")

// Budget decides which instances may be taken out of service under the availability budgets of their pools.
// Instances that are already unavailable, and those that it has allowed to drain, do not count as available.
type Budget struct {
	roster         *Roster
	pools          map[string]*laburnumv1.Pool
	unavailableIDs map[string]bool
	approvedDrains map[string]bool
}

// NewBudget returns a budget over the pools of the accepted configuration.
func NewBudget(r *Roster, pools map[string]*laburnumv1.Pool, unavailable []string) *Budget {
	b := &Budget{roster: r, pools: pools, unavailableIDs: make(map[string]bool, len(unavailable)), approvedDrains: make(map[string]bool)}
	for _, instance := range unavailable {
		b.unavailableIDs[instance] = true
	}
	return b
}

// AllowDrain allows an assigned instance to drain, or returns an error that names the budget that forbids it.
// Draining an instance that is already unavailable is always allowed and uses no budget.
func (b *Budget) AllowDrain(a *laburnumv1.Assignment) error {
	pool := b.pools[a.GetPool()]
	if pool == nil || b.unavailableIDs[a.Instance] {
		return nil
	}
	if err := b.checkPool(pool, a); err != nil {
		return err
	}
	if err := b.checkRack(pool, a); err != nil {
		return err
	}
	b.approvedDrains[a.Instance] = true
	return nil
}

// Undo revokes a drain that was allowed.
func (b *Budget) Undo(instance string) { delete(b.approvedDrains, instance) }

// Available reports whether the instance is assigned, is not unavailable and has not been allowed to drain.
func (b *Budget) Available(a *laburnumv1.Assignment) bool {
	return a.State == laburnumv1.AssignmentState_ASSIGNMENT_STATE_ASSIGNED && !b.unavailableIDs[a.Instance] && !b.approvedDrains[a.Instance]
}

// CountAvailable returns the number of available instances of a pool and the largest number of them in a
// single rack, without counting the instance excluded.
func (b *Budget) CountAvailable(pool, excluded string) (available, inLargestRack int) {
	racks := make(map[Domain]int)
	for _, a := range b.roster.Members(pool) {
		if a.Instance == excluded || !b.Available(a) {
			continue
		}
		available++
		racks[DomainOf(a)]++
		inLargestRack = max(inLargestRack, racks[DomainOf(a)])
	}
	return available, inLargestRack
}

// checkPool refuses the drain of a if the pool would fall below min_available, now or after the loss of the
// rack with the most available instances.
func (b *Budget) checkPool(pool *laburnumv1.Pool, a *laburnumv1.Assignment) error {
	if pool.MinAvailable == 0 {
		return nil
	}
	available, rackLoss := b.CountAvailable(pool.Name, a.Instance)
	if available-rackLoss < int(pool.MinAvailable) {
		return ErrBudget.New("pool %s would keep %d available, %d after the loss of a rack; it needs %d",
			pool.Name, available, available-rackLoss, pool.MinAvailable)
	}
	return nil
}

// checkRack refuses the drain of a if more than max_rack_unavailable instances of the pool would be out of
// service by plan in its rack.
func (b *Budget) checkRack(pool *laburnumv1.Pool, a *laburnumv1.Assignment) error {
	if pool.MaxRackUnavailable == 0 {
		return nil
	}
	plannedOut := 1
	for _, other := range b.roster.Domains()[DomainOf(a)] {
		outOfService := IsMember(other) && other.State != laburnumv1.AssignmentState_ASSIGNMENT_STATE_ASSIGNED
		if other.Pool == a.Pool && other.Instance != a.Instance && (outOfService || b.approvedDrains[other.Instance]) {
			plannedOut++
		}
	}
	if plannedOut > int(pool.MaxRackUnavailable) {
		return ErrBudget.New("pool %s would have %d instances out in rack %s; it allows %d", pool.Name, plannedOut, a.Rack, pool.MaxRackUnavailable)
	}
	return nil
}
