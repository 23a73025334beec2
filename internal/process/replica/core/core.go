// Package core implements the Raft consensus algorithm of a replicated log as a deterministic state machine.
//
// Its inputs are messages, ticks and proposals; Ready returns what the caller has to persist, send and apply.
// The package does no I/O, reads no clock and starts no goroutine; its only source of randomness is Config.Rand.
// A Core is not safe for concurrent use.
package core

import (
	"math/rand/v2"

	"github.com/zeebo/errs"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// Error is the class of all errors of this package.
var Error = errs.Class("consensus")

// Errors of proposals. A proposal that fails with one of them was not appended to any log.
var (
	ErrNotLeader        = Error.New("not the leader")
	ErrChangeInProgress = Error.New("another membership change is in progress")
	ErrNotCaughtUp      = Error.New("the learner has not caught up")
	ErrNoMember         = Error.New("no such member")
	ErrMemberExists     = Error.New("the member exists or is a voter already")
	ErrRemoveLeader     = Error.New("the leader cannot be removed; transfer leadership first")
	ErrQuorumAtRisk     = Error.New("the remaining voters that answer would be no quorum")
)

// Role is the role of a replica in its current term.
type Role int

// Roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Config configures a Core.
type Config struct {
	// Name identifies the replica among the members.
	Name string
	// Replica is the random identifier of the replica's data folder. It survives restarts of the process; a replica
	// that has lost its folder gets another one.
	Replica uint64
	// ElectionTicks is the minimum election timeout. The actual timeout is drawn from [ElectionTicks,
	// 2*ElectionTicks). A leader that hears no quorum for ElectionTicks steps down.
	ElectionTicks int
	// HeartbeatTicks is the number of ticks between heartbeats.
	HeartbeatTicks int
	// LeaderLease is set if a leader relies on not being replaced for ElectionTicks after a quorum confirmed it.
	// A replica then also withholds its vote for the first ElectionTicks after its start.
	LeaderLease bool
	// MaxAppendBytes limits the total size of the entries in one message; a single larger entry is still sent.
	MaxAppendBytes int
	// Rand randomizes the election timeout.
	Rand *rand.Rand
}

// Persisted is the state that a replica restores from its data folder.
type Persisted struct {
	HardState *laburnumv1.HardState
	// Snapshot describes the newest snapshot. At index 0 its membership holds the initial voters.
	Snapshot *laburnumv1.SnapshotMeta
	// Entries are consecutive. They may begin before the snapshot's index, so that a lagging follower can be
	// sent entries instead of the whole snapshot.
	Entries []*laburnumv1.LogEntry
}

// Message is a consensus message with the names of its sender and receiver.
type Message struct {
	From, To string
	*laburnumv1.ConsensusMessage
}

// Snapshot is a complete snapshot that replaces the state of the state machine.
type Snapshot struct {
	Meta *laburnumv1.SnapshotMeta
	Data []byte
}

// Ready is the work that the caller must do, in this order:
//
//  1. send Early;
//  2. make Snapshot, HardState and Entries durable together; Entries replace all stored entries from their first
//     index on;
//  3. send Messages, which must not be sent before step 2 has made the state behind them durable;
//  4. restore Snapshot into the state machine, apply Committed in order, and serve Reads;
//  5. call Advance before any other method.
type Ready struct {
	// Early holds the messages that may be sent before anything is made durable: a leader's appends, which don't
	// depend on its own entries being durable.
	Early     []Message
	Snapshot  *Snapshot
	HardState *laburnumv1.HardState
	Entries   []*laburnumv1.LogEntry
	Messages  []Message
	Committed []*laburnumv1.LogEntry
	// Reads are the reads that may be served once Committed is applied.
	Reads []Read
}

// Read is a confirmed read. It may be served once the state machine has applied Index.
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
	// heardByLeader is set on a follower if its leader reports that it receives the follower's answers.
	heardByLeader bool
	log           log
	members       membershipHistory

	now              uint64 // ticks since the start
	electionElapsed  int
	electionTimeout  int
	heartbeatElapsed int

	votes            map[string]bool
	progress         map[string]*progress
	heartbeatRound   uint64
	transferee       string
	transferStart    uint64
	transferCampaign bool // the leader asked for this campaign, to transfer its leadership

	reads            []pendingRead
	readyReads       []Read
	incomingSnapshot *Snapshot // snapshot that is being received in chunks
	pendingSnapshot  *Snapshot // received snapshot that is still to be made durable

	early, messages []Message
	persisted       *laburnumv1.HardState
}

// New returns a follower with the state restored from p.
func New(cfg Config, p Persisted) *Core {
	c := &Core{cfg: cfg, progress: make(map[string]*progress)}
	hs := p.HardState
	c.term, c.vote, c.cluster = hs.GetTerm(), hs.GetVote(), hs.GetCluster()
	c.log.load(p)
	c.log.commit = max(p.Snapshot.GetIndex(), min(hs.GetCommit(), c.log.last()))
	c.log.applied = p.Snapshot.GetIndex()
	c.members.load(p.Snapshot, c.log.entriesAfter(p.Snapshot.GetIndex()))
	c.persisted = c.hardState()
	c.resetElectionTimer()
	return c
}

func (c *Core) hardState() *laburnumv1.HardState {
	return &laburnumv1.HardState{Term: c.term, Vote: c.vote, Commit: c.log.commit, Cluster: c.cluster}
}

// hardStateChanged reports whether term, vote or cluster differ from the durable ones. The commit index is left
// out: no message requires it to be durable.
func (c *Core) hardStateChanged() bool {
	p := c.persisted
	return p.Term != c.term || p.Vote != c.vote || p.Cluster != c.cluster
}

// HasReady reports whether Ready would return any work.
func (c *Core) HasReady() bool {
	return c.hardStateChanged() || c.pendingSnapshot != nil || c.log.unstableCount() > 0 || len(c.messages) > 0 ||
		len(c.early) > 0 || c.log.commit > c.log.applied || len(c.readyReads) > 0
}

// Ready returns the work that is pending. The caller must do it and then call Advance.
func (c *Core) Ready() Ready {
	r := Ready{Snapshot: c.pendingSnapshot, Entries: c.log.unstableEntries(), Early: c.early, Messages: c.messages, Reads: c.readyReads}
	if c.hardStateChanged() || len(r.Entries) > 0 || r.Snapshot != nil {
		r.HardState = c.hardState()
	}
	if c.hardStateChanged() {
		// Until its term is durable, the leader must not send appends in it: after a restart it could take part
		// in the same term again and contradict them.
		r.Messages = append(r.Messages, r.Early...)
		r.Early = nil
	}
	r.Committed = c.log.nextToApply()
	return r
}

// Advance confirms that the work of the last Ready has been done.
func (c *Core) Advance() {
	c.persisted = c.hardState()
	c.pendingSnapshot = nil
	c.early, c.messages, c.readyReads = nil, nil, nil
	c.log.stable = c.log.last()
	c.log.applied = max(c.log.applied, c.log.applying)
	if c.role == Leader {
		c.maybeCommit()
	}
}

// Tick advances the logical clock by one tick.
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

// send queues a message to be sent once the state of the same Ready is durable.
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
	c.role, c.leader, c.heardByLeader = Follower, leader, false
	c.transferee, c.transferCampaign = "", false
	c.votes = nil
	c.resetElectionTimer()
}

// Propose appends a command to the log if this replica is the leader. The command is committed once the entry
// with the returned index and term is committed.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	return c.propose(laburnumv1.EntryKind_ENTRY_KIND_COMMAND, data)
}

func (c *Core) propose(kind laburnumv1.EntryKind, data []byte) (index, term uint64, err error) {
	if c.role != Leader || c.transferee != "" {
		return 0, 0, ErrNotLeader
	}
	return c.appendEntry(kind, data), c.term, nil
}

// Status describes the state of a replica and of the log as this replica knows it.
type Status struct {
	Role      Role
	Leader    string
	Term      uint64
	Committed uint64
	Last      uint64
	// QuorumAlive reports whether a quorum was in contact within the election timeout. On a follower it is set if it
	// has a leader that reports receiving its answers: a leader that doesn't receive them sends it no new entries.
	QuorumAlive bool
	Members     []*laburnumv1.Member
	// MembersIndex is the log index of the membership in force. Until it is committed it may still be rolled back.
	MembersIndex uint64
	// Active lists the other members that answered this leader within the election timeout. It is empty on replicas
	// that don't lead.
	Active []string
}

// Status returns the current status.
func (c *Core) Status() Status {
	s := Status{
		Role: c.role, Leader: c.leader, Term: c.term, Committed: c.log.commit, Last: c.log.last(),
		QuorumAlive: c.role == Leader || (c.leader != "" && c.heardByLeader), Members: c.members.current(), MembersIndex: c.members.index(),
	}
	if c.role != Leader {
		return s
	}
	for _, name := range c.peers() {
		if p := c.progress[name]; p != nil && p.folderID != 0 && p.active(c.now, c.cfg.ElectionTicks) {
			s.Active = append(s.Active, name)
		}
	}
	return s
}

// HardState returns the state to persist at a graceful stop. It includes the newest commit index.
func (c *Core) HardState() *laburnumv1.HardState { return c.hardState() }

// SnapshotMetaAt returns the metadata of a snapshot taken at an applied index.
func (c *Core) SnapshotMetaAt(index uint64) *laburnumv1.SnapshotMeta {
	term, _ := c.log.term(index)
	return &laburnumv1.SnapshotMeta{Index: index, Term: term, Membership: c.members.at(index)}
}

// Compact drops the entries before keepFrom. The snapshot described by meta must be durable.
func (c *Core) Compact(meta *laburnumv1.SnapshotMeta, keepFrom uint64) {
	c.log.compact(meta, keepFrom)
	c.members.compact(meta)
}
