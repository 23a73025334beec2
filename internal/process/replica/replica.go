// Package replica implements a replicated log that survives the loss of processes and drives a state machine.
//
// Node connects the consensus algorithm (package core) with the journal and with a transport to the other replicas.
package replica

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// Error is the class of all errors of this package.
var Error = errs.Class("replica")

// ErrNotLeader is returned if no leader accepted the command. The command will never be committed, so it may be
// proposed again.
var ErrNotLeader = Error.New("no leader took the command; it was not committed")

// ErrOverloaded is returned if too much waits to be committed or written. The command was not appended and will never be
// committed.
var ErrOverloaded = Error.New("too much waits to be committed; the command was not taken")

// ErrOutcomeUnknown is returned if it is unknown whether the command was or will be committed.
var ErrOutcomeUnknown = Error.New("the command may have been committed; its outcome is unknown")

// StateMachine is driven by a log. Its methods are called one at a time and in log order.
type StateMachine interface {
	// Apply applies the command at index and returns its encoded result.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot returns the whole state, encoded.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot taken at index.
	Restore(index uint64, data []byte) error
}

// Transport carries messages to other replicas.
type Transport interface {
	// Send queues messages for a member. It must not block. It may lose messages but must not reorder them.
	Send(to *laburnumv1.Member, messages []*laburnumv1.ReplicaMessage)
	// Propose forwards a command to the presumed leader. It returns ErrNotLeader only if the command is certain never
	// to be committed; after any other error the outcome is unknown.
	Propose(ctx context.Context, to *laburnumv1.Member, command []byte) (result []byte, index uint64, err error)
}

// Status is the state of the log as a replica knows it.
type Status struct {
	Node        string
	Leader      string // empty if unknown
	Term        uint64
	Committed   uint64
	Applied     uint64
	IsLeader    bool
	QuorumAlive bool
	Voters      []string
	Learners    []string
	// Members are all voters and learners with their addresses. Active names the other members that answered this
	// leader within the election timeout; it is empty on replicas that don't lead.
	Members []*laburnumv1.Member
	Active  []string
	// CaughtUp names the learners that may be promoted. It is empty on replicas that don't lead.
	CaughtUp []string
	// Leaderless is how long this leader heard no other before it began to lead; 0 on replicas that don't lead.
	Leaderless time.Duration
	Sizes      Sizes
	// Failure is the error that stopped the replica for good, or empty.
	Failure string
}

// Sizes says how much a replica holds of the log, in memory and in its data folder.
type Sizes struct {
	// Entries and EntryBytes are the number and the size of the entries in memory.
	Entries, EntryBytes int
	// QueuedBytes is the size of what waits to be written to the data folder.
	QueuedBytes int
	// SegmentBytes and SnapshotBytes are the sizes of the files in the data folder.
	SegmentBytes, SnapshotBytes int64
}

// FolderBytes returns what the data folder takes up, without its small files of fixed size.
func (s Sizes) FolderBytes() int64 { return s.SegmentBytes + s.SnapshotBytes }

// Log is a replicated log.
type Log interface {
	// Propose commits a command and returns its result once it is applied on this replica. A follower forwards the
	// command to the leader.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	// ReadIndex waits until this replica has applied everything that was committed before the call.
	ReadIndex(ctx context.Context) error
	// Status returns the current status.
	Status() Status
	// Run operates the replica until ctx ends.
	Run(ctx context.Context) error
}
