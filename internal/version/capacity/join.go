package capacity

import (
	"cmp"
	"slices"

	"laburnumrouter/internal/version/roster"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// poolSelector chooses pools for instances without one. It counts the members that the plan has added so far.
type poolSelector struct {
	*Input
	pools []*laburnumv1.Pool // sorted by name
	// plannedJoins counts the instances that the plan adds to each pool, by rack and also by data centre, with an empty
	// Rack.
	plannedJoins  map[poolDomain]int
	plannedChange map[string]int // net change of members by the moves in progress and by this plan, by pool
	// scarce is true if fewer instances are to be admitted than the pools lack.
	scarce bool
}

type poolDomain struct {
	pool   string
	domain roster.Domain
}

func newPoolSelector(in *Input) *poolSelector {
	j := &poolSelector{Input: in, plannedJoins: make(map[poolDomain]int), plannedChange: make(map[string]int)}
	for _, name := range sortedIDs(in.State.Pools) {
		j.pools = append(j.pools, in.State.Pools[name])
	}
	j.countMoves()
	return j
}

// countMoves counts moving instances as members of their target pool instead of their present one.
func (j *poolSelector) countMoves() {
	for _, a := range j.Roster.OutOfService() {
		if a.Wave != "" || j.State.Pools[a.NextPool] == nil {
			continue
		}
		j.plannedChange[a.NextPool]++
		if roster.IsMember(a) {
			j.plannedChange[a.Pool]--
		}
	}
}

func (j *poolSelector) recordJoin(pool string, d roster.Domain) {
	j.plannedChange[pool]++
	j.plannedJoins[poolDomain{pool, d}]++
	j.plannedJoins[poolDomain{pool, roster.Domain{DataCentre: d.DataCentre}}]++
}

// memberCount returns the number of members of a pool, including those that are moving to it.
func (j *poolSelector) memberCount(pool string) int {
	return len(j.Roster.Members(pool)) + j.plannedChange[pool]
}

// hasRoom reports whether a pool may take one more instance under its max_instances.
func (j *poolSelector) hasRoom(p *laburnumv1.Pool) bool {
	return p.MaxInstances == 0 || j.memberCount(p.Name) < int(p.MaxInstances)
}

// rank orders the pools that could take an instance; the smallest is preferred. Its fields are compared in turn.
type rank struct {
	budgetMet       bool    // false only while instances are scarce and the pool is below its minimum; false sorts first
	rackShare       float64 // members in the instance's rack, as a fraction of the pool's size
	dataCentreShare float64 // members in the instance's data centre, as a fraction of the pool's size
	fillRatio       float64 // all members, as a fraction of the pool's size
}

func (a rank) compare(b rank) int {
	if a.budgetMet != b.budgetMet {
		if b.budgetMet {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(a.rackShare, b.rackShare),
		cmp.Compare(a.dataCentreShare, b.dataCentreShare),
		cmp.Compare(a.fillRatio, b.fillRatio),
	)
}

// choosePool returns the pool that an instance should join: a pool that is below its size and whose service the
// instance offers, else a spare pool, else nil.
func (j *poolSelector) choosePool(v *laburnumv1.InstanceView) *laburnumv1.Pool {
	var best, spare *laburnumv1.Pool
	var bestRank rank
	domain := roster.Domain{DataCentre: v.DataCentre, Rack: v.Rack}
	neighbours := j.neighbours(domain)
	for _, p := range j.pools {
		if p.Spare {
			spare = p
		}
		if j.memberCount(p.Name) >= int(p.Instances) || !canServe(p, v.Services) {
			continue // the pool has its size, or the instance does not offer its service
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

// canServe reports whether an instance with the given services can join a pool. A spare pool takes any instance,
// as it has no requests of its own to serve.
func canServe(p *laburnumv1.Pool, services []string) bool {
	return p.Spare || slices.Contains(services, p.Service)
}

func (j *poolSelector) rank(p *laburnumv1.Pool, d roster.Domain, neighbours int) rank {
	local := j.Roster.MembersIn(p.Name, d.DataCentre) + j.plannedJoins[poolDomain{p.Name, roster.Domain{DataCentre: d.DataCentre}}]
	return rank{
		budgetMet:       !j.scarce || j.meetsMinimum(p),
		rackShare:       float64(neighbours+j.plannedJoins[poolDomain{p.Name, d}]) / float64(p.Instances),
		dataCentreShare: float64(local) / float64(p.Instances),
		fillRatio:       float64(j.memberCount(p.Name)) / float64(p.Instances),
	}
}

// meetsMinimum reports whether a pool has min_available members and at least one. A spare pool always meets its
// minimum.
func (j *poolSelector) meetsMinimum(p *laburnumv1.Pool) bool {
	return p.Spare || j.memberCount(p.Name) >= max(1, int(p.MinAvailable))
}

// prepareAdmission sets scarce for the number of instances to admit. It returns false if no pool takes any.
func (j *poolSelector) prepareAdmission(instances int) bool {
	wanted, spare := 0, false
	for _, p := range j.pools {
		wanted += max(0, int(p.Instances)-j.memberCount(p.Name))
		spare = spare || p.Spare
	}
	j.scarce = instances < wanted
	return wanted > 0 || spare
}

// neighbours returns the number of members of each pool in a rack.
func (j *poolSelector) neighbours(d roster.Domain) map[string]int {
	counts := make(map[string]int)
	for _, a := range j.Roster.Domains()[d] {
		if roster.IsMember(a) {
			counts[a.Pool]++
		}
	}
	return counts
}
