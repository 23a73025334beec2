package capacity

import (
	"cmp"
	"slices"

	"laburnumrouter/internal/version/roster"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// joiner chooses pools for instances without one. It counts what the plan has added so far.
type joiner struct {
	*Input
	pools []*laburnumv1.Pool // sorted by name
	added map[joinKey]int
	total map[string]int // members that come, less those that go, by pool
	// scarce is true if there are fewer instances to admit than pools want.
	scarce bool
}

type joinKey struct {
	pool   string
	domain roster.Domain
}

func newJoiner(in *Input) *joiner {
	j := &joiner{Input: in, added: make(map[joinKey]int), total: make(map[string]int)}
	for _, name := range sortedIDs(in.State.Pools) {
		j.pools = append(j.pools, in.State.Pools[name])
	}
	j.countMoves()
	return j
}

// countMoves counts the instances that are on their way as members of the pool that they move to.
func (j *joiner) countMoves() {
	for _, a := range j.Roster.Moving() {
		if a.Wave != "" || j.State.Pools[a.NextPool] == nil {
			continue
		}
		j.total[a.NextPool]++
		if roster.IsMember(a) {
			j.total[a.Pool]--
		}
	}
}

func (j *joiner) joined(pool string, d roster.Domain) {
	j.total[pool]++
	j.added[joinKey{pool, d}]++
	j.added[joinKey{pool, roster.Domain{DataCentre: d.DataCentre}}]++
}

// held returns the members of a pool, with those that move to it.
func (j *joiner) held(pool string) int {
	return len(j.Roster.Members(pool)) + j.total[pool]
}

// room reports whether a pool may hold one more instance.
func (j *joiner) room(p *laburnumv1.Pool) bool {
	return p.MaxInstances == 0 || j.held(p.Name) < int(p.MaxInstances)
}

// rank orders the pools that could take an instance; the smallest comes first.
type rank struct {
	budgetMet  bool    // while instances are scarce, pools below their availability budget come first
	rackPart   float64 // then those with the smallest part of their size in the same rack
	localPart  float64 // then those with the smallest part of their size in the data centre
	filledPart float64 // then those with the smallest part of their size altogether
}

func (a rank) compare(b rank) int {
	if a.budgetMet != b.budgetMet {
		if b.budgetMet {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(a.rackPart, b.rackPart),
		cmp.Compare(a.localPart, b.localPart),
		cmp.Compare(a.filledPart, b.filledPart),
	)
}

// choose returns the pool that an instance should join: one that holds fewer instances than wanted and
// whose service the instance offers, else a spare pool, else nil.
func (j *joiner) choose(v *laburnumv1.InstanceView) *laburnumv1.Pool {
	var best, spare *laburnumv1.Pool
	var bestRank rank
	domain := roster.Domain{DataCentre: v.DataCentre, Rack: v.Rack}
	neighbours := j.neighbours(domain)
	for _, p := range j.pools {
		if p.Spare {
			spare = p
		}
		if j.held(p.Name) >= int(p.Instances) || !fits(p, v.Services) {
			continue // of this pool nothing more is wanted, or not from this instance
		}
		r := j.rank(p, domain, neighbours[p.Name])
		if best == nil || r.compare(bestRank) < 0 {
			best, bestRank = p, r
		}
	}
	if best == nil {
		return spare
	}
	return best
}

// fits reports whether an instance can serve a pool; a spare pool serves nothing itself.
func fits(p *laburnumv1.Pool, services []string) bool {
	return p.Spare || slices.Contains(services, p.Service)
}

func (j *joiner) rank(p *laburnumv1.Pool, d roster.Domain, neighbours int) rank {
	local := j.Roster.MembersIn(p.Name, d.DataCentre) + j.added[joinKey{p.Name, roster.Domain{DataCentre: d.DataCentre}}]
	return rank{
		budgetMet:  !j.scarce || j.covered(p),
		rackPart:   float64(neighbours+j.added[joinKey{p.Name, d}]) / float64(p.Instances),
		localPart:  float64(local) / float64(p.Instances),
		filledPart: float64(j.held(p.Name)) / float64(p.Instances),
	}
}

// covered reports whether a pool holds what its budget needs, and at least one instance if it serves.
func (j *joiner) covered(p *laburnumv1.Pool) bool {
	return p.Spare || j.held(p.Name) >= max(1, int(p.MinAvailable))
}

// expect tells how many instances are about to be admitted. It returns false if no pool takes any.
func (j *joiner) expect(instances int) bool {
	wanted, spare := 0, false
	for _, p := range j.pools {
		wanted += max(0, int(p.Instances)-j.held(p.Name))
		spare = spare || p.Spare
	}
	j.scarce = instances < wanted
	return wanted > 0 || spare
}

// neighbours counts the members of each pool in a rack.
func (j *joiner) neighbours(d roster.Domain) map[string]int {
	counts := make(map[string]int)
	for _, a := range j.Roster.Domains()[d] {
		if roster.IsMember(a) {
			counts[a.Pool]++
		}
	}
	return counts
}
