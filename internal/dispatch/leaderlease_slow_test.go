package dispatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/process/replica"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// slowPeers is a transport between the replicas of a test that delivers messages after a delay, in order.
type slowPeers struct {
	noPeers
	nodes map[string]*replica.Node
	delay time.Duration
}

func (p *slowPeers) Send(to *laburnumv1.Member, messages []*laburnumv1.ReplicaMessage) {
	time.AfterFunc(p.delay, func() { _ = p.nodes[to.Name].Receive(context.Background(), messages) })
}

// Guards against a leader that stays leader but holds its lease only part of the time: each confirmation takes less than the lease
// lasts, but longer than what the one before leaves of it.
func TestLeaseHoldsWhileQuorumAnswersSlowly(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		defer boottime.SetTestClock(func() time.Duration { return time.Since(start) })()
		ctx, stop := context.WithCancel(t.Context())
		peers := &slowPeers{nodes: make(map[string]*replica.Node), delay: 110 * time.Millisecond}
		voters := []*laburnumv1.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}}
		stopped := make(chan error, len(voters))
		for _, v := range voters {
			node, err := replica.Open(replica.Options{
				Name: v.Name, Voters: voters, Dir: fmt.Sprint(dir, "/", v.Name), Machine: NewEngine(hclog.NewNullLogger()), Transport: peers,
				Tick: 50 * time.Millisecond, LeaderLease: true,
			})
			must.NoError(t, err)
			peers.nodes[v.Name] = node
		}
		leases := make(map[string]*leaderLease)
		for name, node := range peers.nodes {
			leases[name] = newLeaderLease(500*time.Millisecond, node)
			go func() { stopped <- node.Run(ctx) }()
			go leases[name].run(ctx)
		}
		holder := func() *leaderLease {
			for _, l := range leases {
				if l.Held() {
					return l
				}
			}
			return nil
		}
		for began := time.Now(); holder() == nil && time.Since(began) < time.Minute; {
			time.Sleep(time.Millisecond)
		}
		lease := holder()
		must.NotNil(t, lease)
		term := lease.term.Load()
		lapsed := 0
		for range 20_000 {
			time.Sleep(time.Millisecond)
			if !lease.Held() {
				lapsed++
			}
		}
		must.EqOp(t, term, lease.replica.Status().Term)
		must.Zero(t, lapsed, must.Sprint("ms without the lease"))
		stop()
		for range voters {
			must.NoError(t, <-stopped)
		}
	})
}
