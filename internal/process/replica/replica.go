// Package replica drives a state machine from a log that survives the loss of processes.
//
// Node joins the consensus core (package core), the journal and a transport to the other replicas.
package replica

import (
	"context"

	"github.com/zeebo/errs"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// Error is the class of all errors of this package.
var Error = errs.Class("replica")

// ErrNotLeader is returned when no leader took the command: it is in no log and may be sent again.
var ErrNotLeader = Error.New("no leader took the command; it was not committed")

// ErrUnknown is returned when a command may have been committed, now or later.
var ErrUnknown = Error.New("the command may have been committed; its outcome is unknown")

// StateMachine is what a log drives. Calls come one at a time and in the order of the log.
type StateMachine interface {
	// Apply applies the command at index and returns its encoded result.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot taken at index.
	Restore(index uint64, data []byte) error
}

// Transport carries messages to other replicas.
type Transport interface {
	// Send queues messages for a member. It doesn't block, and may lose messages but not reorder them.
	Send(to *laburnumv1.Member, messages []*laburnumv1.ReplicaMessage)
	// Propose hands a command to a member that should lead. It returns ErrNotLeader if the command provably
	// is in no log; after any other error the outcome is unknown.
	Propose(ctx context.Context, to *laburnumv1.Member, command []byte) (result []byte, index uint64, err error)
}

// Status is what a replica knows of its log.
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
	// Members are all voters and learners with their addresses. Active names those that answered this leader
	// of late; it is empty on others.
	Members []*laburnumv1.Member
	Active  []string
	// Failure says why the replica stopped for good; empty while it works.
	Failure string
}

// Log is a replicated log.
type Log interface {
	// Propose commits a command and returns its result once it is applied here. A follower hands it to the leader.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	// ReadIndex waits until this replica has applied everything that was committed before the call.
	ReadIndex(ctx context.Context) error
	// Status returns what this replica knows now.
	Status() Status
	// Run works until ctx ends.
	Run(ctx context.Context) error
}
