package dispatch

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/uber-go/tally/v4"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/version/accepted"
)

// newFollower returns a dispatcher that doesn't lead. Its ledger holds the job j.
func newFollower(t *testing.T) *Dispatcher {
	t.Helper()
	engine := NewEngine(hclog.NewNullLogger())
	engine.ledger.Apply(&ledger.Command{Config: rigConfig()})
	engine.ledger.Apply(&ledger.Command{Submit: &ledger.Submission{ID: "j", Queue: "q", Steps: []ledger.Step{small}}})
	return New(Options{Engine: engine, Replica: &fakeLog{engine: engine}, Log: hclog.NewNullLogger(), Scope: tally.NoopScope})
}

// Guards against answers from a state that is too old, and against refusals by a follower that doesn't know the newest jobs and
// keys yet.
func TestFollowerAnswersOnlyFromFreshState(t *testing.T) {
	now := time.Hour
	defer boottime.SetTestClock(func() time.Duration { return now })()
	d := newFollower(t)
	state := &Call{Op: OpState, Host: "h", Path: "/q/j"}
	_, err := d.Read(state)
	must.ErrorIs(t, err, ErrNotLeader) // never confirmed
	d.followerReads.confirm(t.Context())
	reply, err := d.Read(state)
	must.NoError(t, err)
	must.EqOp(t, ledger.Queued, reply.State)
	reply, err = d.Read(&Call{Op: OpPending, Host: "h", Path: "/q/"})
	must.NoError(t, err)
	must.EqOp(t, 1, reply.Pending)
	for _, c := range []*Call{
		{Op: OpState, Host: "h", Path: "/q/unknown"}, {Op: OpState, Host: "other", Path: "/q/j"}, {Op: OpSubmit, Host: "h", Path: "/q/new"},
	} {
		_, err := d.Read(c)
		must.ErrorIs(t, err, ErrNotLeader)
	}
	config := rigConfig()
	config.Version, config.Queues[0].Open, config.Workspaces = 2, false, []accepted.Workspace{{Name: "t", Keys: []string{"k"}}}
	d.engine.ledger.Apply(&ledger.Command{Config: config})
	_, err = d.Read(state) // has no key
	must.ErrorIs(t, err, ErrNotLeader)
	state.Key = "k"
	_, err = d.Read(state)
	must.NoError(t, err)
	now += maxReadAge
	_, err = d.Read(state)
	must.ErrorIs(t, err, ErrNotLeader)
}

// Guards against a follower that was suspended while it answered and then serves a key that was revoked meanwhile: no answer
// may go out once the clock has been seen to jump.
func TestFollowerSuspendedWhileItAnswersDoesNot(t *testing.T) {
	answered := 0
	for jumpAt := range 8 {
		readings, jumped, armed := 0, false, false
		restore := boottime.SetTestClock(func() time.Duration {
			if !armed {
				return time.Hour
			}
			if readings++; readings > jumpAt {
				jumped = true
				return time.Hour + 10*time.Second
			}
			return time.Hour
		})
		d := newFollower(t)
		d.followerReads.confirm(t.Context())
		armed = true
		_, err := d.Read(&Call{Op: OpState, Host: "h", Path: "/q/j"})
		restore()
		must.EqOp(t, jumped, err != nil, must.Sprint("jump at reading ", jumpAt))
		if err == nil {
			answered++
		}
	}
	must.Positive(t, answered)
	must.Less(t, 8-2, answered) // jumps before and after the answer was computed are among the cases
}
