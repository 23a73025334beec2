// Package core is the consensus algorithm of the control log as a deterministic state machine.
//
// Messages, ticks and proposals go in; Ready tells the caller what to persist, send and apply. The package
// does no I/O, reads no clock, starts no goroutine, and draws from the random source that it is given.
// A Core is not safe for concurrent use.
package core

import (
	"math/rand/v2"

	"github.com/zeebo/errs"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// Error is the class of all errors of this package.
var Error = errs.Class("consensus")

// Errors of proposals. After any of them the proposal is in no log.
var (
	ErrNotLeader        = Error.New("not the leader")
	ErrChangeInProgress = Error.New("another membership change is in progress")
	ErrNotCaughtUp      = Error.New("the learner has not caught up")
	ErrNoMember         = Error.New("no such member")
	ErrMemberExists     = Error.New("the member exists")
	ErrRemoveLeader     = Error.New("the leader cannot be removed; transfer leadership first")
	ErrQuorumAtRisk     = Error.New("the remaining voters that answer would be no quorum")
)

// Role is what a replica does in its term.
type Role int

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Config sets up a Core.
type Config struct {
	// Name identifies the replica among the members.
	Name string
	// Replica identifies the data folder.
	Replica uint64
	// ElectionTicks is the least number of ticks without a leader before a campaign; the greatest is
	// twice as many. A leader without a quorum for ElectionTicks steps down.
	ElectionTicks int
	// HeartbeatTicks is the number of ticks between heartbeats.
	HeartbeatTicks int
	// LeaderLease is set where a leader relies on not being replaced for ElectionTicks after a quorum confirmed
	// it: a replica then gives no vote to others in that time after its start either.
	LeaderLease bool
	// MaxAppendBytes bounds the entries of one message.
	MaxAppendBytes int
	// Rand is the source of election timeouts.
	Rand *rand.Rand
}

// Persisted is what a replica read from its data folder.
type Persisted struct {
	HardState *laburnumv1.HardState
	// Snapshot describes the newest snapshot; its membership at index 0 is that of the first voters.
	Snapshot *laburnumv1.SnapshotMeta
	// Entries are consecutive; they may begin before the snapshot's index, to help followers that lag.
	Entries []*laburnumv1.LogEntry
}

// Message is a consensus message with its address.
type Message struct {
	From, To string
	*laburnumv1.ConsensusMessage
}

// Snapshot is a whole snapshot that replaces the state machine.
type Snapshot struct {
	Meta *laburnumv1.SnapshotMeta
	Data []byte
}

// Ready is what the caller must do, in this order:
//
//  1. send Early;
//  2. make Snapshot, HardState and Entries durable together; Entries replace all at and after their first index;
//  3. send Messages: they depend on what step 2 made durable;
//  4. restore Snapshot, apply Committed in order, and answer Reads;
//  5. call Advance, before any other call.
type Ready struct {
	// Early may be sent before anything is durable: appends of a leader, which depend on nothing of its own.
	Early     []Message
	Snapshot  *Snapshot
	HardState *laburnumv1.HardState
	Entries   []*laburnumv1.LogEntry
	Messages  []Message
	Committed []*laburnumv1.LogEntry
	// Reads may be served once Committed is applied.
	Reads []Read
}

// Read is a read whose index is known.
type Read struct {
	ID    uint64
	Index uint64
}

// Core is the consensus state of one replica.
type Core struct {
	cfg     Config
	cluster uint64
	term    uint64
	vote    string
	role    Role
	leader  string
	// answered: the leader that this follower hears also hears it.
	answered bool
	log      log
	members  members

	now             uint64 // ticks since the start
	electionElapsed int
	electionTimeout int
	heartbeat       int

	votes      map[string]bool
	progress   map[string]*progress
	round      uint64
	transferee string
	transferAt uint64
	transfer   bool // the campaign was asked for by the leader

	reads    []pendingRead
	done     []Read
	incoming *Snapshot // snapshot that arrives in chunks
	install  *Snapshot // snapshot to be made durable

	early, messages []Message
	persisted       *laburnumv1.HardState
}

// New returns a follower that remembers p.
func New(cfg Config, p Persisted) *Core {
	c := &Core{cfg: cfg, progress: make(map[string]*progress)}
	hs := p.HardState
	c.term, c.vote, c.cluster = hs.GetTerm(), hs.GetVote(), hs.GetCluster()
	c.log.load(p)
	c.log.commit = max(p.Snapshot.GetIndex(), min(hs.GetCommit(), c.log.last()))
	c.log.applied = p.Snapshot.GetIndex()
	c.members.load(p.Snapshot, c.log.after(p.Snapshot.GetIndex()))
	c.persisted = c.hardState()
	c.resetElectionTimer()
	return c
}

func (c *Core) hardState() *laburnumv1.HardState {
	return &laburnumv1.HardState{Term: c.term, Vote: c.vote, Commit: c.log.commit, Cluster: c.cluster}
}

// hardStateChanged reports whether term, vote or cluster changed, which must be durable before a message depends on them.
func (c *Core) hardStateChanged() bool {
	p := c.persisted
	return p.Term != c.term || p.Vote != c.vote || p.Cluster != c.cluster
}

// HasReady reports whether Ready has anything to do.
func (c *Core) HasReady() bool {
	return c.hardStateChanged() || c.install != nil || c.log.unstable() > 0 || len(c.messages) > 0 ||
		len(c.early) > 0 || c.log.commit > c.log.applied || len(c.done) > 0
}

// Ready returns what the caller must do now.
func (c *Core) Ready() Ready {
	r := Ready{Snapshot: c.install, Entries: c.log.unstableEntries(), Early: c.early, Messages: c.messages, Reads: c.done}
	if c.hardStateChanged() || len(r.Entries) > 0 || r.Snapshot != nil {
		r.HardState = c.hardState()
	}
	if c.hardStateChanged() {
		// An append in a term that is not durable could be contradicted after a restart.
		r.Messages = append(r.Messages, r.Early...)
		r.Early = nil
	}
	r.Committed = c.log.committed()
	return r
}

// Advance tells that everything in the last Ready has been done.
func (c *Core) Advance() {
	c.persisted = c.hardState()
	c.install = nil
	c.early, c.messages, c.done = nil, nil, nil
	c.log.stable = c.log.last()
	c.log.applied = max(c.log.applied, c.log.handedOut)
	if c.role == Leader {
		c.maybeCommit()
	}
}

// Tick tells that one unit of time has passed.
func (c *Core) Tick() {
	c.now++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	c.electionElapsed++
	if c.electionElapsed < c.electionTimeout {
		return
	}
	c.leader = ""
	c.resetElectionTimer()
	if c.members.isVoter(c.cfg.Name) {
		c.preCampaign()
	}
}

func (c *Core) resetElectionTimer() {
	c.electionElapsed = 0
	c.electionTimeout = c.cfg.ElectionTicks + c.cfg.Rand.IntN(c.cfg.ElectionTicks)
}

// send queues a message that goes out once everything before it is durable.
func (c *Core) send(to string, m *laburnumv1.ConsensusMessage) {
	c.messages = append(c.messages, c.stamp(to, m))
}

func (c *Core) stamp(to string, m *laburnumv1.ConsensusMessage) Message {
	if m.Term == 0 {
		m.Term = c.term
	}
	m.Cluster, m.Replica = c.cluster, c.cfg.Replica
	if p := c.progress[to]; c.role == Leader && p != nil {
		m.Answered = p.active(c.now, c.cfg.ElectionTicks)
	}
	return Message{From: c.cfg.Name, To: to, ConsensusMessage: m}
}

func (c *Core) becomeFollower(term uint64, leader string) {
	if term != c.term {
		c.term, c.vote = term, ""
	}
	if c.role == Leader {
		c.reads = nil
	}
	c.role, c.leader, c.answered = Follower, leader, false
	c.transferee, c.transfer = "", false
	c.votes = nil
	c.resetElectionTimer()
}

// Propose appends a command, if this replica leads. The command is committed if an entry with the
// returned index and term is.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	return c.propose(laburnumv1.EntryKind_ENTRY_KIND_COMMAND, data)
}

func (c *Core) propose(kind laburnumv1.EntryKind, data []byte) (index, term uint64, err error) {
	if c.role != Leader || c.transferee != "" {
		return 0, 0, ErrNotLeader
	}
	return c.appendOwn(kind, data), c.term, nil
}

// Status is what a replica knows.
type Status struct {
	Role      Role
	Leader    string
	Term      uint64
	Committed uint64
	Last      uint64
	// QuorumAlive tells whether a quorum was in contact within the election timeout. A follower relies on its
	// leader, if contact with it goes both ways: one that is only heard sends it nothing new.
	QuorumAlive bool
	Members     []*laburnumv1.Member
	// MembersIndex is the index of the membership in force; it is settled once committed.
	MembersIndex uint64
	// Active are the other members that answered this leader within the election timeout; empty on others.
	Active []string
}

// Status returns what this replica knows now.
func (c *Core) Status() Status {
	s := Status{
		Role: c.role, Leader: c.leader, Term: c.term, Committed: c.log.commit, Last: c.log.last(),
		QuorumAlive: c.role == Leader || (c.leader != "" && c.answered), Members: c.members.current(), MembersIndex: c.members.index(),
	}
	if c.role != Leader {
		return s
	}
	for _, name := range c.peers() {
		if p := c.progress[name]; p != nil && p.replica != 0 && p.active(c.now, c.cfg.ElectionTicks) {
			s.Active = append(s.Active, name)
		}
	}
	return s
}

// HardState returns the state to remember at a graceful stop, with the newest commit index.
func (c *Core) HardState() *laburnumv1.HardState { return c.hardState() }

// MetaAt returns the description of a snapshot of the state machine at an applied index.
func (c *Core) MetaAt(index uint64) *laburnumv1.SnapshotMeta {
	term, _ := c.log.term(index)
	return &laburnumv1.SnapshotMeta{Index: index, Term: term, Membership: c.members.at(index)}
}

// Compact drops entries before keepFrom, once the snapshot at meta is durable.
func (c *Core) Compact(meta *laburnumv1.SnapshotMeta, keepFrom uint64) {
	c.log.compact(meta, keepFrom)
	c.members.compact(meta)
}
