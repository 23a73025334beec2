package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"laburnumrouter/internal/process/boottime"
)

const (
	// authorityShare is the part of the election time for which a confirmation counts. The rest covers clocks that
	// run at different rates and timers that fire late.
	authorityShare = 0.8
	// authorityEvery is the time between confirmations; three fit into the time for which one counts.
	authorityEvery = 125 * time.Millisecond
	// authorityRetry is the pause before a confirmation that failed is tried again.
	authorityRetry = 30 * time.Millisecond
)

// authority is the leader's lease: a quorum confirmed at a moment that it follows this leader, and elects no
// other for the election time from then on. It is judged by the clock that counts suspensions.
type authority struct {
	holds   time.Duration
	until   atomic.Int64 // boottime in nanoseconds
	term    atomic.Uint64
	revoked atomic.Bool
}

func newAuthority(election time.Duration) *authority {
	return &authority{holds: time.Duration(float64(election) * authorityShare)}
}

// Held implements Authority.
func (a *authority) Held() bool {
	return !a.revoked.Load() && int64(boottime.Now()) < a.until.Load()
}

// revoke ends the authority for good, before leadership is handed over.
func (a *authority) revoke() { a.revoked.Store(true) }

// run confirms the authority while this instance leads, until ctx ends.
func (a *authority) run(ctx context.Context, r Replica) {
	for ctx.Err() == nil {
		pause := authorityRetry
		if a.confirm(ctx, r) {
			pause = authorityEvery
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (a *authority) confirm(ctx context.Context, r Replica) bool {
	status := r.Status()
	if !status.IsLeader {
		return false
	}
	asked := boottime.Now()
	ctx, cancel := context.WithTimeout(ctx, a.holds)
	defer cancel()
	if err := r.ReadIndex(ctx); err != nil {
		return false
	}
	after := r.Status()
	if !after.IsLeader || after.Term != status.Term {
		return false
	}
	a.term.Store(status.Term)
	a.until.Store(int64(asked + a.holds))
	return true
}
