package jobcontrol

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	"laburnumrouter/internal/connection/peer"
	"laburnumrouter/internal/orderforward"
	"laburnumrouter/internal/process/replica"
	"laburnumrouter/internal/process/settings"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

func TestOrderForwardingSettingIsChecked(t *testing.T) {
	for value, faults := range map[string]int{ForwardingAuto: 0, ForwardingOff: 0, "": 1, "on": 1} {
		s := DefaultSettings()
		must.EqOp(t, ForwardingAuto, s.OrderForwarding)
		s.Name, s.DataCentre, s.Listen, s.PeerListen, s.DataDir = "c", "dc", "127.0.0.1:1", "127.0.0.1:2", "d"
		s.Seeds, s.OrderForwarding = []string{"127.0.0.1:1"}, value
		var f settings.Faults
		s.Check(&f)
		must.Len(t, faults, f.List(), must.Sprint(value))
	}
}

// Guards against orders through a member that doesn't answer the leader, and through the leader itself.
func TestOnlyOtherActiveMembersForward(t *testing.T) {
	member := func(name string) *laburnumv1.Member { return &laburnumv1.Member{Name: name, Address: name[:1]} }
	got := forwardingStatus(replica.Status{
		Node: "a/1", IsLeader: true, Term: 4, Active: []string{"a/1", "b/2", "d/4"},
		Members: []*laburnumv1.Member{member("a/1"), member("b/2"), member("c/3"), {Name: "d/4"}},
	})
	must.Eq(t, orderforward.Status{Leads: true, Term: 4, Active: []orderforward.Member{{Name: "b/2", Address: "b"}, {Name: "d/4", Address: "d"}}}, got)
}

// Guards against an instance that doesn't offer the service, that executes orders for a leader of an older term, or whose stop
// waits for its stream.
func TestInstanceForwardsOrders(t *testing.T) {
	c := newCluster(t, http.NotFoundHandler())
	c.waitUntil(func() bool { return c.log.has("leadership begins") && c.isListening(c.peerAddress(1)) })
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	open := func(term uint64) (*connect.BidiStreamForClientSimple[laburnumv1.OrderBatch, laburnumv1.OrderResults], *laburnumv1.OrderResults, error) {
		stream, err := peer.NewDialer().Peer(settings.Peer{Address: c.peerAddress(1)}).Orders.Forward(ctx)
		must.NoError(t, err)
		if err := stream.Send(&laburnumv1.OrderBatch{Term: term}); !errors.Is(err, io.EOF) { // else Receive tells why the stream has ended
			must.NoError(t, err)
		}
		results, err := stream.Receive()
		return stream, results, err
	}
	_, _, err := open(0)
	must.Error(t, err)
	stream, results, err := open(1 << 40)
	must.NoError(t, err)
	must.NoError(t, stream.Send(&laburnumv1.OrderBatch{Echo: results.Mark, Calls: []*laburnumv1.OrderCall{
		{Number: 5, Kind: laburnumv1.OrderKind_ORDER_KIND_STOP, BudgetUs: 1e7},
	}}))
	for len(results.Results) == 0 {
		results, err = stream.Receive()
		must.NoError(t, err)
	}
	must.Eq(t, 5, results.Results[0].Number)
	must.Eq(t, laburnumv1.OrderStatus_ORDER_STATUS_ANSWERED, results.Results[0].Status)
	began := time.Now()
	c.stop[1]()
	must.Less(t, drainPeriod+shutdownTimeout, time.Since(began))
}
