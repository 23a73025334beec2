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
	// MoveCost is the waiting work, in instances' worth of slots, from which a move is worth its cost.
	MoveCost float64
	// Utilisation is the fraction of its slots that a pool should use.
	Utilisation float64
	// MaxMoves is the maximum number of moves in one plan.
	MaxMoves int
}

// responsivePolicy gives priority to roll-out time and shares: capacity follows demand at once.
func responsivePolicy() Policy {
	return Policy{
		Rise: 250 * time.Millisecond, Fall: 2 * time.Second,
		GrowAfter: 0, LendAfter: time.Second, ReturnAfter: time.Minute,
		MoveCost: 0.5, Utilisation: 0.8, MaxMoves: 16,
	}
}

// economicalPolicy gives priority to little idle capacity and few moves: only lasting demand moves instances.
func economicalPolicy() Policy {
	return Policy{
		Rise: 4 * time.Second, Fall: 30 * time.Second,
		GrowAfter: 15 * time.Second, LendAfter: time.Minute, ReturnAfter: 5 * time.Minute,
		MoveCost: 2, Utilisation: 0.95, MaxMoves: 2,
	}
}

// Weighting names a policy in the settings.
type Weighting string

// Weightings that the settings accept.
const (
	Kljuc Weighting = "kljuc" // priority to roll-out time and shares
	Drenq Weighting = "drenq" // priority to little idle capacity and few moves
)

// PolicyOf returns the policy of a weighting; ok is false for an unknown one.
func PolicyOf(w Weighting) (p Policy, ok bool) {
	switch w {
	case Kljuc:
		return responsivePolicy(), true
	case Drenq:
		return economicalPolicy(), true
	}
	return Policy{}, false
}
