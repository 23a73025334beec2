package capacity

import "time"

// Policy sets how the planner trades a quick response to demand against the number of moves and idle capacity.
type Policy struct {
	// Rise and Fall are the time constants with which the forecast follows rising and falling demand.
	Rise time.Duration
	Fall time.Duration
	// GrowAfter is how long a shortage must last before instances are moved to the pool.
	GrowAfter time.Duration
	// LendAfter is how long a pool must have a surplus before it lends instances.
	LendAfter time.Duration
	// ReturnAfter is how long a pool must have a surplus before it returns the instances above its size in
	// the sheet.
	ReturnAfter time.Duration
	// MinWaiting is the least waiting work that justifies a move, as a multiple of the slots of one instance.
	MinWaiting float64
	// Utilisation is the fraction of its slots that a pool should use.
	Utilisation float64
	// MaxMoves is the maximum number of moves in one plan.
	MaxMoves int
}

// responsivePolicy gives priority to a quick response: capacity follows demand at once.
func responsivePolicy() Policy {
	return Policy{
		Rise: 250 * time.Millisecond, Fall: 2 * time.Second,
		GrowAfter: 0, LendAfter: time.Second, ReturnAfter: time.Minute,
		MinWaiting: 0.5, Utilisation: 0.8, MaxMoves: 16,
	}
}

// economicalPolicy gives priority to little idle capacity and few moves: only lasting demand moves instances.
func economicalPolicy() Policy {
	return Policy{
		Rise: 4 * time.Second, Fall: 30 * time.Second,
		GrowAfter: 15 * time.Second, LendAfter: time.Minute, ReturnAfter: 5 * time.Minute,
		MinWaiting: 2, Utilisation: 0.95, MaxMoves: 2,
	}
}

// PolicyName names a policy in the settings.
type PolicyName string

// Names of policies that the settings accept.
const (
	Responsive PolicyName = "kljuc" // priority to a quick response to demand
	Economical PolicyName = "drenq" // priority to little idle capacity and few moves
)

// PolicyOf returns the policy with a name; ok is false for an unknown name.
func PolicyOf(name PolicyName) (p Policy, ok bool) {
	switch name {
	case Responsive:
		return responsivePolicy(), true
	case Economical:
		return economicalPolicy(), true
	}
	return Policy{}, false
}
