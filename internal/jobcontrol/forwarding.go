package jobcontrol

import (
	"strings"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"laburnumrouter/internal/connection/peer"
	"laburnumrouter/internal/dispatch"
	"laburnumrouter/internal/orderforward"
	"laburnumrouter/internal/process/replica"
	"laburnumrouter/internal/process/settings"
	"laburnumrouter/proto/laburnum/v1/laburnumv1connect"
)

// forwarding holds both sides of the forwarding of orders. Both are nil if the settings turn it off.
type forwarding struct {
	client  *orderforward.Client
	service *orderforward.Service
}

// newForwarding returns the forwarding of orders. mayOrder reports whether this instance holds the leader lease.
func newForwarding(direct dispatch.Servers, node *replica.Node, engine *dispatch.Engine, mayOrder func() bool, log hclog.Logger, scope tally.Scope) *forwarding {
	return &forwarding{
		client: orderforward.NewClient(orderforward.Options{
			Direct: direct, Status: func() orderforward.Status { return forwardingStatus(node.Status()) }, MayOrder: mayOrder,
			Dial: func(address string) laburnumv1connect.OrderServiceClient {
				return peer.NewDialer().Peer(settings.Peer{Address: address}).Orders
			},
			Log: log, Scope: scope,
		}),
		service: orderforward.NewService(orderforward.ServiceOptions{
			Servers: direct, Term: func() uint64 { return node.Status().Term }, Spec: engine.JobSpec, Log: log, Scope: scope,
		}),
	}
}

// forwardingStatus returns what the forwarding of orders needs to know of the replica.
func forwardingStatus(s replica.Status) orderforward.Status {
	active := make(map[string]bool, len(s.Active))
	for _, name := range s.Active {
		active[name] = true
	}
	status := orderforward.Status{Leads: s.IsLeader, Term: s.Term}
	for _, m := range s.Members {
		if !active[m.Name] || m.Name == s.Node {
			continue
		}
		address := m.Address
		if address == "" {
			address, _, _ = strings.Cut(m.Name, nameSeparator)
		}
		status.Active = append(status.Active, orderforward.Member{Name: m.Name, Address: address})
	}
	return status
}
