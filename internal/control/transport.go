package control

import (
	"context"
	"errors"
	"net"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"laburnumrouter/internal/connection/peer"
	"laburnumrouter/internal/connection/replication"
	"laburnumrouter/internal/process/replica"
	"laburnumrouter/internal/process/settings"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// replicaTransport implements replica.Transport over connections to the other control instances.
type replicaTransport struct {
	*replication.Links
}

func newReplicaTransport(dial func() *peer.Dialer, peers []settings.Peer) *replicaTransport {
	return &replicaTransport{replication.NewLinks(dial, peers, replica.BudgetFor(0, 0).QueueBytes)}
}

// Propose implements replica.Transport.
func (t *replicaTransport) Propose(ctx context.Context, to *laburnumv1.Member, command []byte) ([]byte, uint64, error) {
	cmd := &laburnumv1.Command{}
	if err := proto.Unmarshal(command, cmd); err != nil {
		return nil, 0, Error.Wrap(err)
	}
	link := t.Peer(to)
	if link == nil {
		return nil, 0, replica.ErrNotLeader
	}
	resp, err := link.Replica.Propose(ctx, &laburnumv1.ProposeRequest{Command: cmd})
	if err != nil {
		return nil, 0, forwardError(err)
	}
	result, err := proto.Marshal(resp.Result)
	return result, resp.Result.GetIndex(), Error.Wrap(err)
}

// forwardError converts an error of a forwarded proposal. It returns replica.ErrNotLeader if the command is certainly in
// no log, because the connection failed or the receiver said so, and replica.ErrOutcomeUnknown otherwise.
func forwardError(err error) error {
	var dialing *net.OpError
	if errors.As(err, &dialing) && dialing.Op == "dial" {
		return replica.ErrNotLeader
	}
	if connect.CodeOf(err) == connect.CodeFailedPrecondition {
		return replica.ErrNotLeader
	}
	return replica.ErrOutcomeUnknown
}

// replicaServer implements ReplicaService, which receives the control log's messages.
type replicaServer struct {
	*replication.Receiver
	node *replica.Node
}

// Propose implements ReplicaService. An error with CodeFailedPrecondition means that the command is in no log.
func (s *replicaServer) Propose(ctx context.Context, req *laburnumv1.ProposeRequest) (*laburnumv1.ProposeResponse, error) {
	data, err := proto.Marshal(req.Command)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	encoded, _, err := s.node.ProposeLocal(ctx, data)
	if errors.Is(err, replica.ErrNotLeader) || errors.Is(err, replica.ErrOverloaded) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	result := &laburnumv1.CommandResult{}
	if err := proto.Unmarshal(encoded, result); err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return &laburnumv1.ProposeResponse{Result: result}, nil
}
