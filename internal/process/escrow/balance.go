package escrow

import (
	"sort"
	"time"
)

const (
	// rotationPeriod is how long a claimant keeps its permit while others in need have none.
	rotationPeriod = time.Second
	// reserveDivisor sets the reserve: claimants without need together keep up to 1/reserveDivisor of the total.
	reserveDivisor = 20
	// toleranceDivisor sets the tolerance: a claim may fall short of its fair share by 1/toleranceDivisor of it.
	toleranceDivisor = 8
	// refillDivisor sets the refill level: below 1/refillDivisor of its ideal share a claim is refilled.
	refillDivisor = 2
)

// Claim is what one claimant holds and needs of a total.
type Claim struct {
	Held int
	Need int
}

// Balance returns how much of total each claim should hold; the result never adds up to more than total.
//
// If the total covers all needs, each claim gets its need and the surplus is spread evenly, so that a claimant that is
// cut off later has permits to work with; small differences don't change the result. Otherwise the total is split
// max-min fairly by need, and each claim keeps what it holds while all are near their fair shares. If more claims need
// a permit than there are permits, the permits rotate among them with a fixed period.
func Balance(total int, claims []Claim, now time.Time) []int {
	total = max(total, 0)
	if len(claims) == 0 {
		return nil
	}
	reserve := total / (reserveDivisor * len(claims))
	needs := make([]int, len(claims))
	sum, needy := 0, 0
	for i, c := range claims {
		needs[i] = max(c.Need, reserve)
		sum += needs[i]
		if c.Need > 0 {
			needy++
		}
	}
	if sum <= total {
		return spreadSurplus(total-sum, needs, claims)
	}
	first := 0
	if needy > total {
		first = int(now.UnixNano()/int64(rotationPeriod)) % len(claims)
	}
	fair := maxMinShares(total, needs, first)
	if needy <= total && nearFairShares(total, claims, fair) {
		return heldOf(claims)
	}
	return fair
}

// spreadSurplus adds an even share of the surplus to each need. While each claim holds at least its need and
// 1/refillDivisor of its ideal share, none has to return permits and only those that nobody holds are handed out.
func spreadSurplus(surplus int, needs []int, claims []Claim) []int {
	ideal := append([]int(nil), needs...)
	for i, n := range splitEvenly(surplus, len(claims)) {
		ideal[i] += n
	}
	free := surplus
	for i, c := range claims {
		free -= c.Held - needs[i]
		if c.Held < needs[i] || c.Held < ideal[i]/refillDivisor {
			return ideal
		}
	}
	if free < 0 {
		return ideal
	}
	targets := heldOf(claims)
	for i, n := range splitEvenly(free, len(claims)) {
		targets[i] += n
	}
	return targets
}

// splitEvenly splits total into parts that differ by at most one.
func splitEvenly(total, parts int) []int {
	list := make([]int, parts)
	for i := range list {
		list[i] = total / parts
		if i < total%parts {
			list[i]++
		}
	}
	return list
}

// maxMinShares splits total max-min fairly, each part bounded by its need. Units that cannot be split evenly go
// to the claims from index first on.
func maxMinShares(total int, needs []int, first int) []int {
	level := fairLevel(total, needs)
	parts := make([]int, len(needs))
	for i, need := range needs {
		parts[i] = min(need, level)
		total -= parts[i]
	}
	for i := range needs {
		at := (first + i) % len(needs)
		if total > 0 && parts[at] < needs[at] {
			parts[at]++
			total--
		}
	}
	return parts
}

// fairLevel returns the highest bound on all parts at which they do not add up to more than total.
func fairLevel(total int, needs []int) int {
	sorted := append([]int(nil), needs...)
	sort.Ints(sorted)
	for i, need := range sorted {
		share := total / (len(sorted) - i)
		if need > share {
			return share
		}
		total -= need
	}
	return sorted[len(sorted)-1]
}

// nearFairShares reports whether no claim is far below its fair share and nothing is left to hand out.
func nearFairShares(total int, claims []Claim, fair []int) bool {
	held := 0
	for i, c := range claims {
		held += c.Held
		if c.Held < fair[i]-fair[i]/toleranceDivisor {
			return false
		}
	}
	return held == total
}

func heldOf(claims []Claim) []int {
	held := make([]int, len(claims))
	for i, c := range claims {
		held[i] = c.Held
	}
	return held
}
