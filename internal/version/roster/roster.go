// Package roster indexes the assignments of instances by pool, by rack and by whether they are out of service, so that
// a decision reads only the pools and instances that it concerns.
package roster

import (
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// Domain is a failure domain: a rack of a data centre, whose instances may fail together.
type Domain struct {
	DataCentre string
	Rack       string
}

// DomainOf returns the failure domain of an assignment.
func DomainOf(a *laburnumv1.Assignment) Domain { return Domain{a.GetDataCentre(), a.GetRack()} }

// Roster indexes assignments. It is not safe for concurrent use. Assignments that it holds must not be modified.
type Roster struct {
	all            map[string]*laburnumv1.Assignment
	pools          map[string]map[string]*laburnumv1.Assignment
	domains        map[Domain]map[string]*laburnumv1.Assignment
	outOfService   map[string]*laburnumv1.Assignment
	memberCounts   map[poolDataCentre]int
	assignedByPool map[string]assignedTotals
}

// assignedTotals counts the assigned members of a pool and their slots.
type assignedTotals struct {
	instances int
	slots     int
}

// poolDataCentre identifies the part of a pool that is in one data centre.
type poolDataCentre struct {
	pool       string
	dataCentre string
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		all:            make(map[string]*laburnumv1.Assignment),
		pools:          make(map[string]map[string]*laburnumv1.Assignment),
		domains:        make(map[Domain]map[string]*laburnumv1.Assignment),
		outOfService:   make(map[string]*laburnumv1.Assignment),
		memberCounts:   make(map[poolDataCentre]int),
		assignedByPool: make(map[string]assignedTotals),
	}
}

// FromAssignments returns a roster that holds the given assignments.
func FromAssignments(assignments map[string]*laburnumv1.Assignment) *Roster {
	r := New()
	for _, a := range assignments {
		r.Put(a)
	}
	return r
}

// Put adds an assignment or replaces the one of the same instance.
func (r *Roster) Put(a *laburnumv1.Assignment) {
	r.Remove(a.Instance)
	r.all[a.Instance] = a
	addToIndex(r.domains, DomainOf(a), a)
	if IsMember(a) {
		addToIndex(r.pools, a.Pool, a)
		r.memberCounts[poolDataCentre{a.Pool, a.DataCentre}]++
	}
	if a.State != laburnumv1.AssignmentState_ASSIGNMENT_STATE_ASSIGNED {
		r.outOfService[a.Instance] = a
		return
	}
	r.addAssigned(a, 1)
}

func (r *Roster) addAssigned(a *laburnumv1.Assignment, n int) {
	t := r.assignedByPool[a.Pool]
	r.assignedByPool[a.Pool] = assignedTotals{t.instances + n, t.slots + n*int(a.Slots)}
}

// Remove removes the assignment of an instance, if there is one.
func (r *Roster) Remove(instance string) {
	a := r.all[instance]
	if a == nil {
		return
	}
	delete(r.all, instance)
	delete(r.outOfService, instance)
	removeFromIndex(r.domains, DomainOf(a), instance)
	removeFromIndex(r.pools, a.Pool, instance)
	if IsMember(a) {
		r.memberCounts[poolDataCentre{a.Pool, a.DataCentre}]--
	}
	if a.State == laburnumv1.AssignmentState_ASSIGNMENT_STATE_ASSIGNED {
		r.addAssigned(a, -1)
	}
}

func addToIndex[K comparable](index map[K]map[string]*laburnumv1.Assignment, key K, a *laburnumv1.Assignment) {
	if index[key] == nil {
		index[key] = make(map[string]*laburnumv1.Assignment)
	}
	index[key][a.Instance] = a
}

func removeFromIndex[K comparable](index map[K]map[string]*laburnumv1.Assignment, key K, instance string) {
	delete(index[key], instance)
	if len(index[key]) == 0 {
		delete(index, key)
	}
}

// IsMember reports whether the instance counts as a member of its pool. A released instance is no member of
// any pool, unless a maintenance wave holds it for its pool.
func IsMember(a *laburnumv1.Assignment) bool {
	return a.GetState() != laburnumv1.AssignmentState_ASSIGNMENT_STATE_RELEASED || a.GetWave() != ""
}

// Len returns the number of assignments.
func (r *Roster) Len() int { return len(r.all) }

// Get returns the assignment of an instance, or nil.
func (r *Roster) Get(instance string) *laburnumv1.Assignment { return r.all[instance] }

// All returns all assignments by instance. The map must not be modified.
func (r *Roster) All() map[string]*laburnumv1.Assignment { return r.all }

// Members returns the members of a pool by instance. The map must not be modified.
func (r *Roster) Members(pool string) map[string]*laburnumv1.Assignment { return r.pools[pool] }

// AssignedTotals returns the number of assigned members of a pool and the sum of their slots.
func (r *Roster) AssignedTotals(pool string) (instances, slots int) {
	t := r.assignedByPool[pool]
	return t.instances, t.slots
}

// MembersIn returns the number of members that a pool has in a data centre.
func (r *Roster) MembersIn(pool, dataCentre string) int {
	return r.memberCounts[poolDataCentre{pool, dataCentre}]
}

// Pools returns the members of every pool that has any. The map must not be modified.
func (r *Roster) Pools() map[string]map[string]*laburnumv1.Assignment { return r.pools }

// Domains returns the assignments of every rack. The map must not be modified.
func (r *Roster) Domains() map[Domain]map[string]*laburnumv1.Assignment { return r.domains }

// OutOfService returns the assignments that are draining or released. The map must not be modified.
func (r *Roster) OutOfService() map[string]*laburnumv1.Assignment { return r.outOfService }
