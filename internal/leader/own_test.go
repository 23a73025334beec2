package leader

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/uber-go/tally/v4"

	"laburnumrouter/internal/dispatch"
	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/process/replica"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/version/accepted"
)

// follower is a replica that doesn't lead. readIndex is what its read index does.
type follower struct {
	engine    *dispatch.Engine
	readIndex func(context.Context) error
}

func (f *follower) Status() replica.Status { return replica.Status{} }

func (f *follower) ProposeLocal(context.Context, []byte) ([]byte, uint64, error) {
	return nil, 0, replica.ErrNotLeader
}

func (f *follower) ReadIndex(ctx context.Context) error { return f.readIndex(ctx) }

// apply applies a version of the configuration.
func (f *follower) apply(t *testing.T, version int64) {
	t.Helper()
	data, err := (&ledger.Command{Config: &accepted.Config{Version: version, Raw: fmt.Appendf(nil, `{"version":%d}`, version)}}).Encode()
	must.NoError(t, err)
	f.engine.Apply(uint64(version), data)
}

// Guards against a configuration that is older than the newest acknowledged one, or that crosses the network although this instance holds
// it.
func TestConfigurationIsReadFromOwnStateOnlyIfConfirmed(t *testing.T) {
	lead := newInstance(t, LeaderStatus{Leads: true})
	lead.reply.Store(&dispatch.Reply{Outcome: dispatch.OK, Config: []byte("of the leader")})
	f := &follower{engine: dispatch.NewEngine(hclog.NewNullLogger())}
	d := dispatch.New(dispatch.Options{Engine: f.engine, Replica: f, Log: hclog.NewNullLogger(), Scope: tally.NoopScope})
	c := NewClient([]string{lead.address()}, d, hclog.NewNullLogger())
	now := time.Hour
	defer boottime.SetTestClock(func() time.Duration { return now })()
	confirmed := func(context.Context) error { return nil }
	cases := []struct {
		name      string
		readIndex func(context.Context) error
		want      string
	}{
		{"no configuration yet", confirmed, "of the leader"},
		{"acknowledged before the call and not applied yet", func(context.Context) error { f.apply(t, 2); return nil }, `{"version":2}`},
		{"not confirmed in time", func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }, "of the leader"},
		{"suspended while it was confirmed", func(context.Context) error { now += time.Minute; return nil }, "of the leader"},
		{"confirmed", confirmed, `{"version":2}`},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f.readIndex = test.readIndex
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			reply := c.Do(ctx, &dispatch.Call{Op: dispatch.OpGetConfig})
			must.EqOp(t, dispatch.OK, reply.Outcome)
			must.EqOp(t, test.want, string(reply.Config))
		})
	}
}
