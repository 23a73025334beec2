package idempotency

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"laburnumrouter/internal/process/escrow"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

var errLost = errors.New("lost")

// cluster simulates the entries of one data centre and their stores, with one virtual clock and without sockets.
type cluster struct {
	mu    sync.Mutex
	now   time.Time
	group *laburnumv1.RecordGroup // as committed; all nodes see it at once, except those that lag
	nodes map[string]*node        // by member id
	// drop decides whether a request or its answer is lost; if nil, none is.
	drop func(req *laburnumv1.PutRecordRequest) (request, answer bool)
}

// node is one incarnation of an entry.
type node struct {
	cluster      *cluster
	id           string
	store        *Store
	recorder     *GroupRecorder
	owners       *Owners
	down         bool
	laggingGroup *laburnumv1.RecordGroup // older group that the node still sees, nil if none
}

func newCluster(members ...string) *cluster {
	c := &cluster{now: time.UnixMilli(1_800_000_000_000), nodes: make(map[string]*node)}
	for _, m := range members {
		c.start(m)
	}
	c.commit(members, nil, 0)
	return c
}

func (c *cluster) start(id string) *node {
	n := &node{cluster: c, id: id, store: NewStore()}
	n.owners = NewOwners(func() string { return id })
	n.recorder = &GroupRecorder{Network: n, Owners: n.owners, RepairExpected: func() bool { return true }}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[id] = n
	return n
}

// commit commits a new group. All nodes that don't lag see it at once.
func (c *cluster) commit(members, learners []string, completeSinceUnixMs int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.group = &laburnumv1.RecordGroup{
		DataCentre: "dc1", Epoch: c.group.GetEpoch() + 1, Members: members, Learners: learners, CompleteSinceUnixMs: completeSinceUnixMs,
	}
}

// repair replaces a lost member by a learner that fetches all records and then becomes a member.
func (c *cluster) repair(remaining []string, joins string) {
	n := c.start(joins)
	c.commit(remaining, []string{joins}, 0)
	n.fetch()
	c.commit(append(remaining, joins), nil, 0)
}

// fetch merges all records of the first member into the node's store, as a learner does.
func (n *node) fetch() {
	group := n.Group("dc1")
	first := n.cluster.nodes[group.Members[0]]
	first.store.SetGroup(first.id, group, false)
	for after := ""; ; {
		records, next, ok := first.store.Page(n.cluster.now, group.Epoch, after)
		if !ok {
			panic("first member refused")
		}
		n.store.Merge(records)
		if after = next; after == "" {
			return
		}
	}
}

func (n *node) Group(dataCentre string) *laburnumv1.RecordGroup {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	switch {
	case dataCentre != "dc1":
		return nil
	case n.laggingGroup != nil:
		return n.laggingGroup
	}
	return n.cluster.group
}

func (n *node) Put(_ context.Context, member string, req *laburnumv1.PutRecordRequest) (*laburnumv1.PutRecordResponse, error) {
	c := n.cluster
	req = proto.Clone(req).(*laburnumv1.PutRecordRequest)
	c.mu.Lock()
	target, drop, now := c.nodes[member], c.drop, c.now
	gone := target == nil || target.down || n.down
	c.mu.Unlock()
	var request, answer bool
	if drop != nil {
		request, answer = drop(req)
	}
	if gone || request {
		return nil, errLost
	}
	target.store.SetGroup(target.id, target.Group("dc1"), false)
	resp := target.store.Put(now, req)
	if answer {
		return nil, errLost
	}
	return resp, nil
}

func (n *node) Running(_ context.Context, owner string, _ *laburnumv1.Record) (bool, error) {
	entry, incarnation, _ := escrow.ParseHolderID(owner)
	c := n.cluster
	c.mu.Lock()
	target := c.nodes[escrow.HolderID(entry, incarnation)]
	gone := target == nil || target.down
	c.mu.Unlock()
	if gone {
		return false, errLost
	}
	return target.owners.Running(owner), nil
}

func (n *node) begin(key string) (Verdict, *laburnumv1.Record, error) {
	return n.recorder.Begin(context.Background(), key, "soap", []byte("digest"))
}

func (n *node) finish(own *laburnumv1.Record, state laburnumv1.RecordState, body string) error {
	return n.recorder.Finish(context.Background(), own, state, &laburnumv1.StoredResponse{Status: 200, Body: []byte(body)})
}
