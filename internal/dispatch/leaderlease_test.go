package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/process/replica"
)

// confirmingReplica leads in a term, and every read index succeeds.
type confirmingReplica struct {
	Replica
	term uint64
}

func (r *confirmingReplica) Status() replica.Status {
	return replica.Status{IsLeader: true, Term: r.term}
}

func (r *confirmingReplica) ReadIndex(context.Context) error { return nil }

// A leader that hands over must not act any more, although a quorum confirmed it a moment ago or still does. In a later
// term it may lead again.
func TestYieldRevokesLeaseOfTerm(t *testing.T) {
	r := &confirmingReplica{term: 4}
	d := &Dispatcher{leaderLease: newLeaderLease(time.Hour), replica: r}
	must.True(t, d.leaderLease.confirm(t.Context(), r))
	must.True(t, d.leaderLease.Held())
	d.Yield()
	must.False(t, d.leaderLease.Held())
	must.True(t, d.leaderLease.confirm(t.Context(), r))
	must.False(t, d.leaderLease.Held())
	r.term = 6
	must.True(t, d.leaderLease.confirm(t.Context(), r))
	must.True(t, d.leaderLease.Held())
}
