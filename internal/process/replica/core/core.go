// Package core implements the Raft consensus algorithm of a replicated log as a deterministic state machine.
//
// Its inputs are messages, ticks and proposals; Ready returns what the caller has to persist, send and apply.
// The package does no I/O, reads no clock and starts no goroutine; its only source of randomness is Config.Rand.
// A Core is not safe for concurrent use.
package core

import (
	"math/rand/v2"
	"time"

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
	ErrTooMuchPending   = Error.New("too much of the log is neither committed nor durable yet")
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
	// HandoverTicks is the time after which a leader whose storage lags behind a quorum's is to hand over (see
	// StorageLags); 0 means never.
	HandoverTicks int
	// LeaderLease is set if a leader relies on not being replaced for ElectionTicks after a quorum confirmed it.
	// A replica then also withholds its vote for the first ElectionTicks after its start.
	LeaderLease bool
	// MaxAppendBytes limits the total size of the entries in one message; a single larger entry is still sent.
	MaxAppendBytes int
	// MaxPendingBytes limits the entries that a leader takes, or a follower holds, while those before them are still to be
	// committed by a quorum or to be written by the own disk; 0 means no limit. A single larger entry is taken if none is pending.
	MaxPendingBytes int
	// MaxInflightBytes limits the unanswered entries on the way to one follower; 0 means no limit. A single larger message is sent
	// if none is unanswered.
	MaxInflightBytes int
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
//  1. send Messages, which promise nothing that isn't durable yet;
//  2. hand Write to the storage, which makes writes durable one after the other, and call Durable with each of them,
//     in order, once it is; this may be long after step 4;
//  3. restore Snapshot into the state machine, apply Committed in order, and serve Reads;
//  4. call Advance before any other method.
//
// Committed entries may not be durable here yet: a quorum without this replica may have committed them.
type Ready struct {
	Messages []Message
	// Write is nil if there is nothing to make durable and no message waits for an earlier write.
	Write    *Write
	Snapshot *Snapshot
	// Committed are entries that are committed and to be applied.
	Committed []*laburnumv1.LogEntry
	// Reads are the reads that may be served once Committed is applied.
	Reads []Read
	// Elections are this replica's campaigns that have ended, Refusals the votes that it refused. They need no action.
	Elections []Election
	Refusals  []Refusal
}

// Write is state that must become durable in one step, after all earlier writes.
type Write struct {
	// Snapshot replaces the whole stored log; nil if there is none.
	Snapshot *Snapshot
	// HardState is nil if it is unchanged.
	HardState *laburnumv1.HardState
	// Entries replace all stored entries from their first index on.
	Entries []*laburnumv1.LogEntry
	// Messages must not be sent before this write and all earlier ones are durable.
	Messages []Message

	last        uint64 // last index of the log that the write makes durable; 0 if it has no entries and no snapshot
	truncations uint64 // log.truncations when the write was made
	begunAt     uint64 // tick
	begunTime   time.Duration
}

// Empty reports whether the write only carries messages that wait for earlier writes.
func (w *Write) Empty() bool { return w.Snapshot == nil && w.HardState == nil && len(w.Entries) == 0 }

// Bytes returns the size of the write's entries and snapshot.
func (w *Write) Bytes() int {
	bytes := sizeOf(w.Entries)
	if w.Snapshot != nil {
		bytes += len(w.Snapshot.Data)
	}
	return bytes
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
	// ledUntil is the tick until which this replica led or heard a leader. leaderless is, on a leader, how long there was none before.
	ledUntil, leaderless uint64
	log                  log
	members              membershipHistory
	// tookPartInFirstElection is set if this replica is known to have voted, with this data folder, before it had a log.
	tookPartInFirstElection bool

	now              uint64 // ticks since the start
	electionElapsed  int
	electionTimeout  int
	heartbeatElapsed int

	votes            map[string]bool
	elections        []Election
	refusals         []Refusal
	progress         map[string]*progress
	heartbeatRound   uint64
	sendsDue         bool          // Ready has to look for entries and commit indexes to send
	tickDue          bool          // a tick has passed since the last Ready: it also sends to paced members, and the commit index alone
	lastRound        uint64        // last index of the log when rounds was last increased
	rounds           int           // number of Readys in this tick for which the log had grown
	roundsLastTick   int           // that of the last whole tick
	allPromptUntil   uint64        // tick until which no member is paced
	writeTime        time.Duration // average time of this replica's writes
	time             time.Duration // see SetTime
	transferee       string
	transferStart    uint64
	abdicating       bool // the leader steps down if the transfer fails
	transferCampaign bool // the leader asked for this campaign, to transfer its leadership

	reads            []pendingRead
	readyReads       []Read
	incomingSnapshot *Snapshot // snapshot that is being received in chunks
	pendingSnapshot  *Snapshot // received snapshot that is still to be made durable

	// messages may be sent once the current term is durable. afterWrite must also wait for everything else that the core
	// holds now.
	messages, afterWrite []Message
	// written is the hard state of the last write, durable that of the last durable write.
	written, durable *laburnumv1.HardState
	writes           []*Write // writes that are not durable yet, in order
}

// New returns a follower with the state restored from p.
func New(cfg Config, p Persisted) *Core {
	c := &Core{cfg: cfg, progress: make(map[string]*progress)}
	hs := p.HardState
	c.term, c.vote, c.cluster = hs.GetTerm(), hs.GetVote(), hs.GetCluster()
	c.log.load(p)
	c.log.commit = max(p.Snapshot.GetIndex(), min(hs.GetCommit(), c.log.last()))
	c.log.applied = p.Snapshot.GetIndex()
	c.tookPartInFirstElection = c.log.last() == 0 && c.vote != ""
	c.members.load(p.Snapshot, c.log.entriesAfter(p.Snapshot.GetIndex()))
	c.written = c.hardState()
	c.durable = c.written
	c.resetElectionTimer()
	return c
}

func (c *Core) hardState() *laburnumv1.HardState {
	return &laburnumv1.HardState{Term: c.term, Vote: c.vote, Commit: c.log.commit, Cluster: c.cluster}
}

// hardStateChanged reports whether term, vote or cluster differ from those of the last write. The commit index is left
// out: no message requires it to be durable.
func (c *Core) hardStateChanged() bool {
	w := c.written
	return w.Term != c.term || w.Vote != c.vote || w.Cluster != c.cluster
}

// termDurable reports whether the current term is durable. Before that no message may be sent in it: after a restart the
// replica could take part in the same term again and contradict what it sent.
func (c *Core) termDurable() bool { return c.durable.Term == c.term && c.durable.Cluster == c.cluster }

// HasReady reports whether Ready would return any work.
func (c *Core) HasReady() bool {
	return c.role == Leader && c.sendsDue || c.hardStateChanged() || c.pendingSnapshot != nil || c.log.unwrittenCount() > 0 || len(c.messages) > 0 ||
		len(c.afterWrite) > 0 || c.log.commit > c.log.applied || len(c.readyReads) > 0 || len(c.elections) > 0 || len(c.refusals) > 0
}

// Ready returns the work that is pending. The caller must do it and then call Advance.
func (c *Core) Ready() Ready {
	c.sendDueAppends()
	r := Ready{Snapshot: c.pendingSnapshot, Reads: c.readyReads, Elections: c.elections, Refusals: c.refusals}
	w := &Write{
		Snapshot: c.pendingSnapshot, Entries: c.log.unwrittenEntries(), Messages: c.afterWrite,
		truncations: c.log.truncations, begunAt: c.now, begunTime: c.time,
	}
	if c.hardStateChanged() || len(w.Entries) > 0 || w.Snapshot != nil {
		w.HardState = c.hardState()
	}
	if w.Snapshot != nil || len(w.Entries) > 0 {
		w.last = c.log.last()
	}
	if c.termDurable() {
		r.Messages = c.messages
	} else {
		w.Messages = append(w.Messages, c.messages...)
	}
	switch {
	case !w.Empty() || len(w.Messages) > 0 && len(c.writes) > 0:
		r.Write = w
	default:
		r.Messages = append(r.Messages, w.Messages...)
	}
	r.Committed = c.log.nextToApply()
	return r
}

// Advance confirms that the work of the last Ready has been done, except that its write may not be durable yet.
func (c *Core) Advance(r Ready) {
	if r.Write != nil {
		c.writes = append(c.writes, r.Write)
		if r.Write.HardState != nil {
			c.written = r.Write.HardState
		}
		c.log.written = max(c.log.written, r.Write.last)
	}
	c.pendingSnapshot = nil
	c.messages, c.afterWrite, c.readyReads = nil, nil, nil
	c.elections, c.refusals = nil, nil
	c.log.applied = max(c.log.applied, c.log.applying)
}

// Durable confirms that a write, and with it all earlier ones, is durable.
func (c *Core) Durable(w *Write) {
	for len(c.writes) > 0 {
		done := c.writes[0]
		c.writes = c.writes[1:]
		if len(done.Entries) > 0 {
			c.writeTime = smooth(c.writeTime, c.time-done.begunTime)
		}
		if done.HardState != nil {
			c.durable = done.HardState
		}
		// If the log was truncated since, a later write replaces entries of this one, and its last index tells nothing.
		if done.truncations == c.log.truncations {
			c.log.stable = max(c.log.stable, done.last)
		}
		if done == w {
			break
		}
	}
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

// send queues a message that promises nothing but the current term.
func (c *Core) send(to string, m *laburnumv1.ConsensusMessage) {
	c.messages = append(c.messages, c.stamp(to, m))
}

// sendAfterWrite queues a message that must not be sent before the vote and the log as they are now are durable.
func (c *Core) sendAfterWrite(to string, m *laburnumv1.ConsensusMessage) {
	c.afterWrite = append(c.afterWrite, c.stamp(to, m))
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
		c.reads, c.ledUntil = nil, c.now
	}
	c.role, c.leader, c.heardByLeader = Follower, leader, false
	c.transferee, c.transferCampaign, c.abdicating = "", false, false
	c.votes = nil
	c.resetElectionTimer()
}

// Propose appends a command to the log if this replica is the leader. The command is committed once the entry
// with the returned index and term is committed. It returns ErrTooMuchPending if the command would exceed MaxPendingBytes.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role == Leader && c.pendingExceeds(c.cfg.MaxPendingBytes-len(data)-entryOverhead) {
		return 0, 0, ErrTooMuchPending
	}
	return c.propose(laburnumv1.EntryKind_ENTRY_KIND_COMMAND, data)
}

// pendingExceeds reports whether any entries that are not yet both committed and durable here have a total of more than
// maxBytes.
func (c *Core) pendingExceeds(maxBytes int) bool {
	after := max(c.log.baseIndex, min(c.log.commit, c.log.stable))
	return c.cfg.MaxPendingBytes > 0 && after < c.log.last() && c.log.exceeds(after, maxBytes)
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
	// Entries and EntryBytes are the number and the size of the entries that the log holds in memory.
	Entries, EntryBytes int
	// QuorumAlive reports whether a quorum was in contact within the election timeout. On a follower it is set if it
	// has a leader that reports receiving its answers: a leader that doesn't receive them sends it no new entries.
	QuorumAlive bool
	Members     []*laburnumv1.Member
	// MembersIndex is the log index of the membership in force. Until it is committed it may still be rolled back.
	MembersIndex uint64
	// Active lists the other members that answered this leader within the election timeout. It is empty on replicas
	// that don't lead.
	Active []string
	// LeaderlessTicks is the time for which this leader heard no other before it began to lead; 0 on replicas that don't lead.
	LeaderlessTicks uint64
	// SilentTicks is the time for which this replica has heard no leader; 0 while it leads.
	SilentTicks uint64
	// CaughtUp lists the learners that Promote makes voters. It is empty on replicas that don't lead.
	CaughtUp []string
}

// Status returns the current status.
func (c *Core) Status() Status {
	s := Status{
		Role: c.role, Leader: c.leader, Term: c.term, Committed: c.log.commit, Last: c.log.last(),
		Entries: len(c.log.entries), EntryBytes: c.log.bytes,
		QuorumAlive: c.role == Leader || (c.leader != "" && c.heardByLeader), Members: c.members.current(), MembersIndex: c.members.index(),
	}
	if c.role != Leader {
		s.SilentTicks = c.now - c.ledUntil
		return s
	}
	s.LeaderlessTicks = c.leaderless
	for _, m := range c.members.current() {
		p := c.progress[m.Name]
		if p == nil || p.folderID == 0 || !p.active(c.now, c.cfg.ElectionTicks) {
			continue
		}
		s.Active = append(s.Active, m.Name)
		if m.Learner && c.holdsEnough(p) {
			s.CaughtUp = append(s.CaughtUp, m.Name)
		}
	}
	return s
}

// HardState returns the state to persist at a graceful stop. It includes the newest commit index up to which the log is
// durable: writes that are still queued may replace what the data folder holds beyond it.
func (c *Core) HardState() *laburnumv1.HardState {
	hs := c.hardState()
	hs.Commit = min(hs.Commit, c.log.stable)
	return hs
}

// SnapshotMetaAt returns the metadata of a snapshot taken at an applied index.
func (c *Core) SnapshotMetaAt(index uint64) *laburnumv1.SnapshotMeta {
	term, _ := c.log.term(index)
	return &laburnumv1.SnapshotMeta{Index: index, Term: term, Membership: c.members.at(index)}
}

// KeepFrom returns the first of the entries up to an index that are to be kept if at most maxEntries of them with a total of at
// most maxBytes are. It is index+1 if none is.
func (c *Core) KeepFrom(index, maxEntries uint64, maxBytes int) uint64 {
	return c.log.keepFrom(index, maxEntries, maxBytes)
}

// Compact drops the entries before keepFrom. The snapshot described by meta must be durable.
func (c *Core) Compact(meta *laburnumv1.SnapshotMeta, keepFrom uint64) {
	c.log.compact(meta, keepFrom)
	c.members.compact(meta)
}
