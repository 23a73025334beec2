package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/process/replica"
)

const (
	// leaseFraction is the fraction of the election timeout for which a confirmation is valid. The remainder covers clock
	// rate differences and late timers.
	leaseFraction = 0.8
	// leaseConfirmInterval is the time between confirmations. Three fit into the validity of one.
	leaseConfirmInterval = 125 * time.Millisecond
	// leaseRetryDelay is the delay before a failed confirmation is retried.
	leaseRetryDelay = 30 * time.Millisecond
)

// leaderLease is the Raft leader lease: when a quorum confirms this leader, it elects no other leader for the election
// timeout that follows. Expiry is measured on a clock that also advances while the machine is suspended.
type leaderLease struct {
	validFor   time.Duration
	validUntil atomic.Int64 // boottime in nanoseconds
	term       atomic.Uint64
	// revokedThrough is the last term in which the lease must not be held any more.
	revokedThrough atomic.Uint64
	// lapsedAt is when the lease lapsed, if it has and that was logged. Only logLapse uses it.
	lapsedAt time.Duration
}

func newLeaderLease(election time.Duration) *leaderLease {
	return &leaderLease{validFor: time.Duration(float64(election) * leaseFraction)}
}

// Held implements leaseHolder.
func (l *leaderLease) Held() bool {
	return l.term.Load() > l.revokedThrough.Load() && int64(boottime.Now()) < l.validUntil.Load()
}

// termLease is the leader lease as the session of one term sees it: the lease of a later term of the same instance doesn't
// count, because another instance may have led in between.
type termLease struct {
	lease *leaderLease
	term  uint64
}

// Held implements leaseHolder.
func (t termLease) Held() bool { return t.lease.term.Load() == t.term && t.lease.Held() }

// revoke ends the lease for a term and all earlier ones. It is called before leadership is transferred, because the next
// leader then doesn't wait for the lease to expire.
func (l *leaderLease) revoke(term uint64) { l.revokedThrough.Store(term) }

// run renews the lease while this instance leads, until ctx ends.
func (l *leaderLease) run(ctx context.Context, r Replica) {
	for ctx.Err() == nil {
		pause := leaseRetryDelay
		if l.confirm(ctx, r) {
			pause = leaseConfirmInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (l *leaderLease) confirm(ctx context.Context, r Replica) bool {
	status := r.Status()
	if !status.IsLeader {
		return false
	}
	asked := boottime.Now()
	ctx, cancel := context.WithTimeout(ctx, l.validFor)
	defer cancel()
	if err := r.ReadIndex(ctx); err != nil {
		return false
	}
	after := r.Status()
	if !after.IsLeader || after.Term != status.Term {
		return false
	}
	l.term.Store(status.Term)
	l.validUntil.Store(int64(asked + l.validFor))
	return true
}

// logLapse logs when this instance has lost its lease in a term in which it leads, and when it holds it again.
func (l *leaderLease) logLapse(status replica.Status, log hclog.Logger) {
	until := time.Duration(l.validUntil.Load())
	lapsed := status.IsLeader && l.term.Load() == status.Term && status.Term > l.revokedThrough.Load() && !l.Held()
	if lapsed == (l.lapsedAt != 0) {
		return
	}
	now := boottime.Now()
	if lapsed {
		l.lapsedAt = until
		log.Warn("leader lease lapsed", "term", status.Term, "confirmed", now-until+l.validFor)
		return
	}
	log.Info("leader lease no longer lapsed", "term", status.Term, "held", l.Held(), "lapsed_for", now-l.lapsedAt)
	l.lapsedAt = 0
}
