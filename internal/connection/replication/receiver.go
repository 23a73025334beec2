package replication

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
	"laburnumrouter/proto/laburnum/v1/laburnumv1connect"
)

var (
	errLate   = connect.NewError(connect.CodeAborted, errors.New("a later connection of the sender is in use"))
	errClosed = connect.NewError(connect.CodeUnavailable, errors.New("the receiver is closed"))
)

// ReceiveBufferBytes is the receive buffer for a connection, and for a stream, of a server that streams of replicas come to. A ping is
// answered after the bytes that came before it: with a large buffer, a sender takes a connection that moves slowly for a dead one.
const ReceiveBufferBytes = 256 << 10

// Receiver takes what the other members send by Step and Stream, and keeps the order of each link. It is safe for
// concurrent use.
type Receiver struct {
	receive func(context.Context, []*laburnumv1.ReplicaMessage) error

	mu      sync.Mutex
	closed  bool
	senders map[string]*sender // by member name; one for each member that ever sent
}

// sender is another member that sends to this one. Its fields are guarded by mu, which is held while a batch is delivered,
// so that no batch of an earlier connection is delivered after one of a later connection.
type sender struct {
	mu               sync.Mutex
	link, connection uint64
	abort            func() // ends the newest stream; nil if none is open
}

// NewReceiver returns a receiver that delivers batches to receive.
func NewReceiver(receive func(context.Context, []*laburnumv1.ReplicaMessage) error) *Receiver {
	return &Receiver{receive: receive, senders: make(map[string]*sender)}
}

// controllerKey is the key of a request's http.ResponseController in its context.
type controllerKey struct{}

// Handler returns the handler of a ReplicaService that embeds this receiver, and its path.
func (r *Receiver) Handler(service laburnumv1connect.ReplicaServiceHandler, options ...connect.HandlerOption) (string, http.Handler) {
	path, handler := laburnumv1connect.NewReplicaServiceHandler(service, options...)
	return path, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		ctx := context.WithValue(req.Context(), controllerKey{}, http.NewResponseController(w))
		handler.ServeHTTP(w, req.WithContext(ctx))
	})
}

// Step implements ReplicaService.
func (r *Receiver) Step(ctx context.Context, req *laburnumv1.StepRequest) (*laburnumv1.StepResponse, error) {
	s, err := r.connect(req, nil)
	if err != nil {
		return nil, err
	}
	if err := r.deliver(ctx, s, req.Link, req.Connection, req.Messages); err != nil {
		return nil, err
	}
	return &laburnumv1.StepResponse{}, nil
}

// Stream implements ReplicaService.
func (r *Receiver) Stream(ctx context.Context, stream *connect.ClientStream[laburnumv1.StepRequest]) (*laburnumv1.StepResponse, error) {
	controller := ctx.Value(controllerKey{}).(*http.ResponseController)
	// An abort lets the stream's blocked read fail. It is called only while this function runs.
	abort := func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) }
	var s *sender
	var link, connection uint64
	for stream.Receive() {
		req := stream.Msg()
		if s == nil && req.Link != 0 {
			link, connection = req.Link, req.Connection
			var err error
			if s, err = r.connect(req, abort); err != nil {
				return nil, err
			}
			defer s.disconnect(link, connection)
		}
		if err := r.deliver(ctx, s, link, connection, req.Messages); err != nil {
			return nil, err
		}
	}
	if err := stream.Err(); err != nil {
		return nil, err
	}
	return &laburnumv1.StepResponse{}, nil
}

// connect records the connection with which a request came, and ends the stream of an earlier one. It returns nil if the
// sender doesn't number its connections or sends nothing, and errLate if a later connection is known.
func (r *Receiver) connect(req *laburnumv1.StepRequest, abort func()) (*sender, error) {
	if req.Link == 0 || len(req.Messages) == 0 {
		return nil, nil
	}
	s := r.sender(req.Messages[0].From)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.link == req.Link && s.connection == req.Connection {
		return s, nil
	}
	if s.link == req.Link && req.Connection < s.connection {
		return nil, errLate
	}
	if s.abort != nil {
		s.abort()
	}
	s.link, s.connection, s.abort = req.Link, req.Connection, abort
	// Close ends the stream if it finds abort, which is set before this check.
	if abort != nil && r.isClosed() {
		s.abort = nil
		return nil, errClosed
	}
	return s, nil
}

func (r *Receiver) sender(from string) *sender {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.senders[from]
	if s == nil {
		s = &sender{}
		r.senders[from] = s
	}
	return s
}

func (r *Receiver) isClosed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

// disconnect records that the stream of a connection has ended.
func (s *sender) disconnect(link, connection uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.link == link && s.connection == connection {
		s.abort = nil
	}
}

// deliver delivers a batch unless a later connection of its sender is known.
func (r *Receiver) deliver(ctx context.Context, s *sender, link, connection uint64, messages []*laburnumv1.ReplicaMessage) error {
	if len(messages) == 0 {
		return nil
	}
	if s != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.link != link || s.connection != connection {
			return errLate
		}
	}
	if err := r.receive(ctx, messages); err != nil {
		return connect.NewError(connect.CodeUnavailable, err)
	}
	return nil
}

// Close ends all streams, so that the server can shut down, and refuses new ones.
func (r *Receiver) Close() {
	r.mu.Lock()
	r.closed = true
	senders := make([]*sender, 0, len(r.senders))
	for _, s := range r.senders {
		senders = append(senders, s)
	}
	r.mu.Unlock()
	for _, s := range senders {
		s.mu.Lock()
		if s.abort != nil {
			s.abort()
		}
		s.mu.Unlock()
	}
}
