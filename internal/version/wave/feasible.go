package wave

import (
	"fmt"
	"sort"
	"time"

	"laburnumrouter/internal/version/roster"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// Cause is the kind of limit that a maintenance plan violates.
type Cause string

// The causes of problems.
const (
	CauseBudget Cause = "budget" // the availability budget forbids every step
	CauseWindow Cause = "window" // the steps do not fit into the window
	CauseSize   Cause = "size"   // the fleet is too small for the pools
)

// Problem is a reason why a maintenance plan is impossible or at risk.
type Problem struct {
	Plan  string
	Pool  string
	Cause Cause
	// Detail compares what the plan requires with what is possible.
	Detail string
	// Certain is false if the plan can still succeed, provided that work ends well before the plan's DrainSeconds.
	Certain bool
}

// String formats the problem as one line.
func (p Problem) String() string {
	kind := "impossible"
	if !p.Certain {
		kind = "at risk"
	}
	return fmt.Sprintf("maintenance %s, pool %s: %s (%s): %s", p.Plan, p.Pool, kind, p.Cause, p.Detail)
}

// minStepDuration is the shortest time for which a step takes its instances out of service: drain, reboot and the wait
// until they are healthy.
const minStepDuration = 2 * time.Minute

// FindProblems returns the problems of the maintenance plans of a configuration. With instances, it uses their
// actual racks. Without, it uses the pool sizes of the sheet and assumes that every instance of a pool is in a rack
// of its own.
func FindProblems(cfg *laburnumv1.Configuration, instances []*laburnumv1.InstanceView) []Problem {
	racks := racksByService(instances)
	var problems []Problem
	for _, plan := range cfg.GetMaintenance() {
		for _, pool := range cfg.GetPools() {
			if plan.Pool != "" && plan.Pool != pool.Name {
				continue
			}
			layout := bestLayout(pool, racks, len(instances) > 0)
			if p, found := checkPool(plan, pool, layout); found {
				problems = append(problems, p)
			}
		}
		problems = append(problems, checkStepLimit(plan, cfg.GetPools())...)
	}
	sort.SliceStable(problems, func(i, j int) bool { return problems[i].Plan < problems[j].Plan })
	return problems
}

// layout describes how the instances of a pool are spread over racks.
type layout struct {
	instances int
	perRack   int // largest number in one rack
	racks     int // largest number of racks in one data centre
}

// racksByService counts the instances of each rack by the service that they offer.
func racksByService(instances []*laburnumv1.InstanceView) map[string]map[roster.Domain]int {
	racks := make(map[string]map[roster.Domain]int)
	for _, v := range instances {
		for _, service := range v.Services {
			if racks[service] == nil {
				racks[service] = make(map[roster.Domain]int)
			}
			racks[service][roster.Domain{DataCentre: v.DataCentre, Rack: v.Rack}]++
		}
	}
	return racks
}

// bestLayout spreads the instances of a pool as evenly as possible over the racks that have its service. If the racks
// are not known, or the pool is a spare pool, each instance counts as in a rack of its own.
func bestLayout(pool *laburnumv1.Pool, racks map[string]map[roster.Domain]int, racksKnown bool) layout {
	l := layout{instances: int(pool.Instances), perRack: 1, racks: int(pool.Instances)}
	if !racksKnown || pool.Spare {
		return l
	}
	offered := racks[pool.Service]
	available := 0
	byDataCentre := make(map[string]int)
	l.racks = 0
	for domain, n := range offered {
		available += n
		byDataCentre[domain.DataCentre]++
		l.racks = max(l.racks, byDataCentre[domain.DataCentre])
	}
	l.instances = min(l.instances, available)
	for fittingInstances(offered, l.perRack) < l.instances {
		l.perRack++
	}
	return l
}

// fittingInstances returns how many instances can be placed with at most perRack of them in each rack.
func fittingInstances(racks map[roster.Domain]int, perRack int) int {
	sum := 0
	for _, n := range racks {
		sum += min(n, perRack)
	}
	return sum
}

// checkPool returns the problem of a plan with one of its pools, and whether there is one.
func checkPool(plan *laburnumv1.Maintenance, pool *laburnumv1.Pool, l layout) (Problem, bool) {
	p := Problem{Plan: plan.Name, Pool: pool.Name, Certain: true}
	if l.instances == 0 {
		return p, false
	}
	if l.instances < int(pool.MinAvailable) {
		p.Cause = CauseSize
		p.Detail = fmt.Sprintf("the pool can have %d instances, min_available is %d", l.instances, pool.MinAvailable)
		return p, true
	}
	step := stepSize(pool, l)
	if step <= 0 {
		p.Cause = CauseBudget
		p.Detail = fmt.Sprintf("with one instance out and a further rack of %d lost, %d of %d stay; min_available is %d",
			l.perRack, l.instances-1-l.perRack, l.instances, pool.MinAvailable)
		return p, true
	}
	return checkWindow(p, plan, ceilDiv(l.instances, step))
}

// stepSize returns how many instances of a pool may be out of service at once, so that its budget holds even if
// a further rack fails.
func stepSize(pool *laburnumv1.Pool, l layout) int {
	step := l.instances
	if pool.MinAvailable > 0 {
		step = l.instances - l.perRack - int(pool.MinAvailable)
	}
	if pool.MaxRackUnavailable > 0 {
		step = min(step, l.racks*int(pool.MaxRackUnavailable))
	}
	return step
}

// checkWindow checks whether a number of consecutive steps fits into the window of a plan.
func checkWindow(p Problem, plan *laburnumv1.Maintenance, steps int) (Problem, bool) {
	window := time.Duration(plan.EndUnix-plan.StartUnix) * time.Second
	shortest := time.Duration(steps) * minStepDuration
	longest := time.Duration(steps) * (minStepDuration + time.Duration(plan.DrainSeconds)*time.Second)
	p.Cause = CauseWindow
	switch {
	case shortest > window:
		p.Detail = fmt.Sprintf("%d steps take at least %s, the window is %s", steps, shortest, window)
		return p, true
	case longest > window:
		p.Certain = false
		p.Detail = fmt.Sprintf("%d steps take up to %s if every drain takes the plan's whole drain time, the window is %s", steps, longest, window)
		return p, true
	}
	return p, false
}

// checkStepLimit checks whether steps of at most MaxStep instances, over all pools of the plan, fit into its window.
func checkStepLimit(plan *laburnumv1.Maintenance, pools []*laburnumv1.Pool) []Problem {
	total := 0
	for _, pool := range pools {
		if plan.Pool == "" || plan.Pool == pool.Name {
			total += int(pool.Instances)
		}
	}
	if plan.MaxStep == 0 || total == 0 {
		return nil
	}
	p := Problem{Plan: plan.Name, Pool: "all", Certain: true}
	if plan.Pool != "" {
		p.Pool = plan.Pool
	}
	if p, found := checkWindow(p, plan, ceilDiv(total, int(plan.MaxStep))); found {
		return []Problem{p}
	}
	return nil
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }
