// Package view compiles an accepted state into an immutable form for the request path.
package view

import (
	"crypto/subtle"
	"hash/fnv"
	"maps"
	"slices"

	"laburnumrouter/internal/version/state"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// assignmentShards is the number of maps that assignments are divided into: a change copies only the map it belongs to.
const assignmentShards = 64

// View is one accepted state, indexed for lookups. It is immutable and safe for concurrent use; views of successive
// states share the parts that did not change.
type View struct {
	Index          uint64
	SheetNumber    uint64
	queues         map[string]*laburnumv1.Queue
	pools          map[string]*laburnumv1.Pool
	workspaces     map[string]*laburnumv1.Team
	shares         map[state.ShareID]uint32
	keys           map[state.KeyDigest]*laburnumv1.Key
	withdrawn      map[state.KeyDigest]bool
	assignments    [assignmentShards]map[string]*laburnumv1.Assignment
	assignedByPool map[string][]*laburnumv1.Assignment // assigned instances, by pool
	outOfService   map[string]*laburnumv1.Assignment   // draining or released
	slices         map[state.SliceID]*laburnumv1.Slice
	groups         map[string]*laburnumv1.RecordGroup
}

// Compile returns the view of s. It copies all that the request path needs.
func Compile(s *state.State) *View {
	v := &View{assignedByPool: make(map[string][]*laburnumv1.Assignment), outOfService: make(map[string]*laburnumv1.Assignment)}
	for i := range v.assignments {
		v.assignments[i] = make(map[string]*laburnumv1.Assignment)
	}
	for _, a := range s.Assignments {
		v.assignments[shardOf(a.Instance)][a.Instance] = a
		if assigned(a) {
			v.assignedByPool[a.Pool] = append(v.assignedByPool[a.Pool], a)
			continue
		}
		v.outOfService[a.Instance] = a
	}
	v.copyConfiguration(s)
	v.copyWithdrawn(s)
	v.slices = maps.Clone(s.Slices)
	v.groups = maps.Clone(s.RecordGroups)
	v.Index = s.Index
	return v
}

func shardOf(instance string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(instance))
	return int(h.Sum32() % assignmentShards)
}

func assigned(a *laburnumv1.Assignment) bool {
	return a.GetState() == laburnumv1.AssignmentState_ASSIGNMENT_STATE_ASSIGNED
}

func (v *View) copyConfiguration(s *state.State) {
	v.SheetNumber = s.SheetNumber
	v.queues = maps.Clone(s.Queues)
	v.pools = maps.Clone(s.Pools)
	v.workspaces = maps.Clone(s.Workspaces)
	v.shares = maps.Clone(s.Shares)
	v.keys = maps.Clone(s.Keys)
}

func (v *View) copyWithdrawn(s *state.State) {
	v.withdrawn = make(map[state.KeyDigest]bool, len(s.Withdrawn))
	for digest := range s.Withdrawn {
		v.withdrawn[digest] = true
	}
}

// Next returns the view of s, where v is the view of the state before changes. Its cost depends on the parts that the
// changes affect, not on the size of the state.
func (v *View) Next(s *state.State, changes []*laburnumv1.Change) *View {
	next := *v
	next.Index = s.Index
	var touched []string
	var configuration, withdrawn, slice, groups bool
	for _, c := range changes {
		switch kind := c.Kind.(type) {
		case *laburnumv1.Change_Configuration:
			configuration = true
		case *laburnumv1.Change_Withdrawal:
			withdrawn = true
		case *laburnumv1.Change_Slice:
			slice = true
		case *laburnumv1.Change_RecordGroup:
			groups = true
		case *laburnumv1.Change_Assignment:
			touched = append(touched, kind.Assignment.Instance)
		case *laburnumv1.Change_ForgottenInstance:
			touched = append(touched, kind.ForgottenInstance)
		}
	}
	if configuration {
		next.copyConfiguration(s)
	}
	if withdrawn {
		next.copyWithdrawn(s)
	}
	if slice {
		next.slices = maps.Clone(s.Slices)
	}
	if groups {
		next.groups = maps.Clone(s.RecordGroups)
	}
	next.copyAssignments(v, s, touched)
	return &next
}

// copyAssignments replaces the shards of the touched instances and the member lists of their old and new pools.
func (v *View) copyAssignments(prev *View, s *state.State, touched []string) {
	if len(touched) == 0 {
		return
	}
	v.assignedByPool = maps.Clone(prev.assignedByPool)
	v.outOfService = maps.Clone(prev.outOfService)
	copiedShards := make(map[int]bool)
	copiedPools := make(map[string]bool)
	for _, instance := range touched {
		i := shardOf(instance)
		if !copiedShards[i] {
			v.assignments[i] = maps.Clone(prev.assignments[i])
			copiedShards[i] = true
		}
		old, current := v.assignments[i][instance], s.Assignments[instance]
		if assigned(old) {
			v.removeMember(old, copiedPools)
		}
		delete(v.outOfService, instance)
		if current == nil {
			delete(v.assignments[i], instance)
			continue
		}
		v.assignments[i][instance] = current
		if assigned(current) {
			v.copyPoolOnce(current.Pool, copiedPools)
			v.assignedByPool[current.Pool] = append(v.assignedByPool[current.Pool], current)
			continue
		}
		v.outOfService[instance] = current
	}
}

// copyPoolOnce copies the member list of a pool before its first modification, as earlier views share the list.
func (v *View) copyPoolOnce(pool string, alreadyCopied map[string]bool) {
	if !alreadyCopied[pool] {
		v.assignedByPool[pool] = slices.Clone(v.assignedByPool[pool])
		alreadyCopied[pool] = true
	}
}

func (v *View) removeMember(a *laburnumv1.Assignment, alreadyCopied map[string]bool) {
	v.copyPoolOnce(a.Pool, alreadyCopied)
	v.assignedByPool[a.Pool] = slices.DeleteFunc(v.assignedByPool[a.Pool], func(m *laburnumv1.Assignment) bool {
		return m.Instance == a.Instance
	})
}

// WithWithdrawal returns a copy of the view in which a key is withdrawn.
func (v *View) WithWithdrawal(digest state.KeyDigest) *View {
	next := *v
	next.withdrawn = maps.Clone(v.withdrawn)
	next.withdrawn[digest] = true
	return &next
}

// Queue returns a queue by name, or nil.
func (v *View) Queue(name string) *laburnumv1.Queue { return v.queues[name] }

// Pool returns a pool by name, or nil.
func (v *View) Pool(name string) *laburnumv1.Pool { return v.pools[name] }

// Workspace returns a workspace by name, or nil.
func (v *View) Workspace(name string) *laburnumv1.Team { return v.workspaces[name] }

// Workspaces returns all workspaces by name. The map must not be modified.
func (v *View) Workspaces() map[string]*laburnumv1.Team { return v.workspaces }

// Pools returns all pools by name. The map must not be modified.
func (v *View) Pools() map[string]*laburnumv1.Pool { return v.pools }

// Share returns the weight of a workspace in a pool: the share for that pool, else the workspace's general share.
func (v *View) Share(workspace, pool string) uint32 {
	if share, ok := v.shares[state.ShareID{Workspace: workspace, Pool: pool}]; ok {
		return share
	}
	return v.workspaces[workspace].GetShare()
}

// Withdrawn reports whether a key was withdrawn.
func (v *View) Withdrawn(digest state.KeyDigest) bool { return v.withdrawn[digest] }

// KeyWorkspace returns the workspace that a key belongs to; ok is false if the key is unknown or withdrawn.
func (v *View) KeyWorkspace(digest state.KeyDigest) (workspace string, ok bool) {
	key := v.keys[digest]
	if key == nil || v.withdrawn[digest] {
		return "", false
	}
	if subtle.ConstantTimeCompare(key.Sha256, digest[:]) != 1 {
		return "", false
	}
	return key.Team, true
}

// Assignment returns the assignment of an instance, or nil.
func (v *View) Assignment(instance string) *laburnumv1.Assignment {
	return v.assignments[shardOf(instance)][instance]
}

// Assigned returns the instances that are assigned to a pool. The slice must not be modified.
func (v *View) Assigned(pool string) []*laburnumv1.Assignment { return v.assignedByPool[pool] }

// OutOfService returns the instances that are draining or released. The map must not be modified.
func (v *View) OutOfService() map[string]*laburnumv1.Assignment { return v.outOfService }

// Slice returns the slice of a workspace's limit that a data centre holds, or nil.
func (v *View) Slice(workspace, dataCentre string) *laburnumv1.Slice {
	return v.slices[state.SliceID{Workspace: workspace, DataCentre: dataCentre}]
}

// Slices returns the slices of a data centre by workspace.
func (v *View) Slices(dataCentre string) map[string]*laburnumv1.Slice {
	slices := make(map[string]*laburnumv1.Slice)
	for id, slice := range v.slices {
		if id.DataCentre == dataCentre {
			slices[id.Workspace] = slice
		}
	}
	return slices
}

// Queues returns all queues by name. The map must not be modified.
func (v *View) Queues() map[string]*laburnumv1.Queue { return v.queues }

// Assignments returns all assignments, in no particular order.
func (v *View) Assignments() []*laburnumv1.Assignment {
	var list []*laburnumv1.Assignment
	for _, shard := range v.assignments {
		for _, a := range shard {
			list = append(list, a)
		}
	}
	return list
}

// RecordGroup returns the record group of a data centre, or nil.
func (v *View) RecordGroup(dataCentre string) *laburnumv1.RecordGroup { return v.groups[dataCentre] }
