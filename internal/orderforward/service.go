package orderforward

import (
	"cmp"
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"laburnumrouter/internal/dispatch"
	"laburnumrouter/internal/process/boottime"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
	"laburnumrouter/proto/laburnum/v1/laburnumv1connect"
)

const (
	// maxInProgress bounds the calls in progress on a forwarder. 3,000 starts per second that take 0.1 s and one hold for each
	// of 350 servers are 650; a call takes about 20 KB.
	maxInProgress = 1024
	// maxResults bounds the results that wait for being written to a stream. It is the number of calls that a leader may have
	// pending on it.
	maxResults = maxPendingCalls
	// leaderSilence is how long a leader may send nothing on a stream before the forwarder closes it. It is a multiple of
	// keepAliveInterval.
	leaderSilence = 2 * time.Second
	// writeCheckInterval is the time between checks of a stream on the forwarder.
	writeCheckInterval = 50 * time.Millisecond
	// specWait and specPollInterval are how long, and how often, a start waits for the ledger to apply the job. A follower
	// that isn't needed for a quorum may be sent entries 50 ms late.
	specWait         = 120 * time.Millisecond
	specPollInterval = 5 * time.Millisecond
)

// ServiceOptions configures a Service.
type ServiceOptions struct {
	// Servers executes the calls.
	Servers dispatch.Servers
	// Term returns the highest term that this instance's replica knows of.
	Term func() uint64
	// Spec returns the spec of a job from this instance's ledger; known is false if the ledger doesn't hold the job.
	Spec  func(job string) (spec string, known bool)
	Log   hclog.Logger
	Scope tally.Scope
}

// Service executes the calls of the leader on a forwarder. It implements OrderServiceHandler.
type Service struct {
	ServiceOptions
	now func() time.Duration // suspend-aware clock; replaced in tests

	executed, rejected tally.Counter

	mu         sync.Mutex
	term       uint64 // highest of any stream
	current    *stream
	inProgress int
	draining   bool
	closed     bool
}

type bidiHandler = connect.BidiStream[laburnumv1.OrderBatch, laburnumv1.OrderResults]

// NewService returns a service without streams.
func NewService(o ServiceOptions) *Service {
	return &Service{
		ServiceOptions: o, now: boottime.Now, executed: o.Scope.Counter("order_calls_executed"),
		rejected: o.Scope.Counter("order_calls_rejected"),
	}
}

// controllerKey is the context key of the http.ResponseController of a stream.
type controllerKey struct{}

// Handler returns the path and the handler of the service.
func (s *Service) Handler() (string, http.Handler) {
	path, h := laburnumv1connect.NewOrderServiceHandler(s, connect.WithCompressMinBytes(math.MaxInt), connect.WithReadMaxBytes(maxMessageBytes))
	return path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), controllerKey{}, http.NewResponseController(w))))
	})
}

// Forward implements OrderServiceHandler.
func (s *Service) Forward(ctx context.Context, bidi *bidiHandler) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	control, _ := ctx.Value(controllerKey{}).(*http.ResponseController)
	st := &stream{service: s, ctx: ctx, cancel: cancel, control: control, calls: make(map[uint64]context.CancelFunc), wake: make(chan struct{}, 1)}
	st.heardAt.Store(int64(boottime.Now()))
	opened := make(chan struct{})
	go st.receive(bidi, opened) // ends when this function has returned, at the latest
	written := make(chan struct{})
	go func() {
		defer close(written)
		select {
		case <-opened:
			s.Log.Info("orders are forwarded for a leader", "term", st.term)
			st.write(bidi)
		case <-ctx.Done():
		}
	}()
	st.watch()
	<-written // nothing may be written once the handler has returned
	cause := context.Cause(ctx)
	select {
	case <-opened:
		s.Log.Info("orders are no longer forwarded for a leader", "term", st.term, "cause", cause)
	default:
	}
	return connect.NewError(connect.CodeUnavailable, cause)
}

// Drain makes the service reject further calls. Calls in progress are still answered.
func (s *Service) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Close ends the stream, and lets no further one begin.
func (s *Service) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining, s.closed = true, true
	if s.current != nil {
		s.current.cancel(Error.New("the process stops"))
	}
}

// register puts st in the place of an earlier stream, whose calls are dropped. It returns false if a higher term is known.
func (s *Service) register(st *stream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || st.term < max(s.term, s.Term()) {
		return false
	}
	if s.current != nil {
		s.current.cancel(Error.New("another stream takes its place"))
	}
	s.term, s.current = st.term, st
	return true
}

// knownTerm returns the highest term that this instance knows of.
func (s *Service) knownTerm() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.term, s.Term())
}

// reserve counts a call as in progress, or returns the reason for which it is rejected.
func (s *Service) reserve() laburnumv1.OrderRejection {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.draining:
		return laburnumv1.OrderRejection_ORDER_REJECTION_STOPPING
	case s.inProgress >= maxInProgress:
		return laburnumv1.OrderRejection_ORDER_REJECTION_BUSY
	}
	s.inProgress++
	return laburnumv1.OrderRejection_ORDER_REJECTION_UNSPECIFIED
}

func (s *Service) release(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inProgress -= n
}

// stream is the stream of one leader.
type stream struct {
	service *Service
	term    uint64
	// ctx ends when the stream ends or another takes its place.
	ctx     context.Context
	cancel  context.CancelCauseFunc
	control *http.ResponseController // nil if the stream can't be given deadlines
	heardAt atomic.Int64             // boottime of the last batch
	writing atomic.Uint64            // number of the write in progress; 0 if there is none

	mu      sync.Mutex
	calls   map[uint64]context.CancelFunc // in progress, by number
	results []*laburnumv1.OrderResult
	wake    chan struct{}
}

// watch returns when the stream ends. It ends a stream whose leader is silent or doesn't read. A write that takes long is
// judged by the number of checks in which it was found, because this process may itself have stood still.
func (st *stream) watch() {
	ticker := time.NewTicker(writeCheckInterval)
	defer ticker.Stop()
	writing, checks := uint64(0), 0
	for {
		select {
		case <-st.ctx.Done():
			st.abortWrite()
			return
		case <-ticker.C:
		}
		if now := st.writing.Load(); now == 0 || now != writing {
			writing, checks = now, 0
		} else if checks++; checks > int(writeTimeout/writeCheckInterval) {
			st.cancel(Error.New("a write to the stream hangs"))
		}
		if boottime.Now()-time.Duration(st.heardAt.Load()) > leaderSilence {
			st.cancel(Error.New("the leader is silent"))
		}
	}
}

// abortWrite makes a write in progress fail.
func (st *stream) abortWrite() {
	if st.control != nil && st.writing.Load() != 0 {
		_ = st.control.SetWriteDeadline(time.Now()) // without it, a blocked write ends with the connection
	}
}

// receive accepts batches until the stream ends.
func (st *stream) receive(bidi *bidiHandler, opened chan<- struct{}) {
	for first := true; ; first = false {
		batch, err := bidi.Receive()
		if err != nil {
			st.cancel(Error.Wrap(err))
			return
		}
		st.heardAt.Store(int64(boottime.Now()))
		if first {
			st.term = batch.Term
			if !st.service.register(st) {
				st.cancel(Error.New("term %d is over, or the process stops", st.term))
				return
			}
			close(opened)
		}
		st.accept(batch)
	}
}

// accept starts the calls of a batch.
func (st *stream) accept(batch *laburnumv1.OrderBatch) {
	for _, number := range batch.Cancelled {
		st.mu.Lock()
		cancel := st.calls[number]
		st.mu.Unlock()
		if cancel != nil {
			cancel()
		}
	}
	echo := time.Duration(batch.Echo) * time.Microsecond
	for _, call := range batch.Calls {
		if reason := st.service.reserve(); reason != laburnumv1.OrderRejection_ORDER_REJECTION_UNSPECIFIED {
			st.service.rejected.Inc(1)
			st.report(rejected(call.Number, reason), false)
			continue
		}
		spec := ""
		if call.Spec > 0 && int(call.Spec) <= len(batch.Specs) {
			spec = batch.Specs[call.Spec-1]
		}
		ctx, cancel := context.WithCancel(st.ctx)
		st.mu.Lock()
		st.calls[call.Number] = cancel
		st.mu.Unlock()
		go func() {
			defer cancel()
			result := st.execute(ctx, call, echo, spec)
			result.Number = call.Number
			st.report(result, true)
		}()
	}
}

func rejected(number uint64, reason laburnumv1.OrderRejection) *laburnumv1.OrderResult {
	return &laburnumv1.OrderResult{Number: number, Status: laburnumv1.OrderStatus_ORDER_STATUS_NOT_SENT, Rejection: reason}
}

// report queues a result. counted is set if its call counts as in progress.
func (st *stream) report(result *laburnumv1.OrderResult, counted bool) {
	st.mu.Lock()
	first := len(st.results) == 0
	delete(st.calls, result.Number)
	switch {
	case st.ctx.Err() != nil:
	case len(st.results) >= maxResults:
		st.cancel(Error.New("the leader doesn't read the results"))
	default:
		st.results = append(st.results, result)
	}
	st.mu.Unlock()
	if counted {
		st.service.release(1)
	}
	if first {
		signal(st.wake)
	}
}

// execute makes a call if it may still be made.
func (st *stream) execute(ctx context.Context, call *laburnumv1.OrderCall, echo time.Duration, spec string) *laburnumv1.OrderResult {
	s := st.service
	admit := func() (time.Duration, laburnumv1.OrderRejection) {
		return admission{
			kind: call.Kind, budget: time.Duration(call.BudgetUs) * time.Microsecond, echo: echo, now: s.now(), term: st.term,
			knownTerm: s.knownTerm(),
		}.admit()
	}
	if call.Kind == laburnumv1.OrderKind_ORDER_KIND_START && spec == "" {
		var known bool
		if spec, known = st.awaitSpec(ctx, call); !known {
			s.rejected.Inc(1)
			return rejected(call.Number, laburnumv1.OrderRejection_ORDER_REJECTION_NO_SPEC)
		}
	}
	left, reason := admit()
	if reason == laburnumv1.OrderRejection_ORDER_REJECTION_UNSPECIFIED && ctx.Err() != nil {
		reason = laburnumv1.OrderRejection_ORDER_REJECTION_EXPIRED
	}
	if reason != laburnumv1.OrderRejection_ORDER_REJECTION_UNSPECIFIED {
		s.rejected.Inc(1)
		return rejected(call.Number, reason)
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	s.executed.Inc(1)
	return st.send(ctx, call, spec)
}

// awaitSpec returns the spec of a start's job once the ledger holds it.
func (st *stream) awaitSpec(ctx context.Context, call *laburnumv1.OrderCall) (spec string, known bool) {
	for waited := time.Duration(0); ; waited += specPollInterval {
		// After the expiry of a finished job, another may have its ID.
		if spec, known = st.service.Spec(call.Job); known && specSum(spec) == call.SpecSum {
			return spec, true
		}
		if waited >= specWait {
			return "", false
		}
		select {
		case <-ctx.Done():
			return "", false
		case <-time.After(specPollInterval):
		}
	}
}

// send makes a call to a backend server.
func (st *stream) send(ctx context.Context, call *laburnumv1.OrderCall, spec string) *laburnumv1.OrderResult {
	result := &laburnumv1.OrderResult{Status: laburnumv1.OrderStatus_ORDER_STATUS_ANSWERED}
	servers, to := st.service.Servers, dispatch.Target{ID: call.Server, Address: call.Address}
	token := cmp.Or(call.Token, st.term)
	id, run := taskOf(call)
	var err error
	switch call.Kind {
	case laburnumv1.OrderKind_ORDER_KIND_START:
		var answer dispatch.StartAnswer
		answer, result.ClockMs, err = servers.Start(ctx, to, dispatch.StartOrder{
			Task: id, Run: run, Spec: spec, Checkpoint: call.Checkpoint, DeadlineMS: call.DeadlineMs, Fence: token,
		})
		result.Answer = int32(answer)
	case laburnumv1.OrderKind_ORDER_KIND_STOP:
		err = servers.Stop(ctx, to, dispatch.StopOrder{Task: id, Run: run, Fence: token})
	case laburnumv1.OrderKind_ORDER_KIND_PACE:
		err = servers.Pace(ctx, to, dispatch.PaceOrder{Task: id, Run: run, Percent: int(call.Percent), Fence: token})
	case laburnumv1.OrderKind_ORDER_KIND_HOLD:
		var report *dispatch.HoldReport
		report, err = servers.Hold(ctx, to, dispatch.HoldOrder{
			Fence: token, DeadlineMS: call.DeadlineMs, AckedEnd: call.AckedEnd, WaitMS: call.WaitMs,
		})
		if err == nil {
			result.Hold, result.ClockMs = encodeHold(report), report.ClockMS
		}
	default:
		return rejected(call.Number, laburnumv1.OrderRejection_ORDER_REJECTION_UNSPECIFIED)
	}
	var network *net.OpError
	switch {
	case err == nil:
	case errors.Is(err, dispatch.ErrMisdirected):
		result.Status = laburnumv1.OrderStatus_ORDER_STATUS_MISDIRECTED
	case errors.Is(err, dispatch.ErrFenced):
		result.Status = laburnumv1.OrderStatus_ORDER_STATUS_FENCED
	case errors.As(err, &network) && network.Op == "dial":
		// The HTTP client sends nothing before it has a connection, and doesn't repeat a request that it began to send.
		return rejected(call.Number, laburnumv1.OrderRejection_ORDER_REJECTION_UNREACHABLE)
	default:
		result.Status, result.Error = laburnumv1.OrderStatus_ORDER_STATUS_UNANSWERED, err.Error()
	}
	return result
}

// write sends results and marks until the stream ends.
func (st *stream) write(bidi *bidiHandler) {
	timer := time.NewTimer(0) // the first mark is sent at once
	defer timer.Stop()
	for writes := uint64(0); ; {
		select {
		case <-st.ctx.Done():
			return
		case <-timer.C:
		case <-st.wake:
			timer.Reset(batchDelay)
			select {
			case <-st.ctx.Done():
				return
			case <-timer.C:
			}
		}
		writes++
		st.writing.Store(writes)
		err := bidi.Send(st.take())
		st.writing.Store(0)
		if err != nil {
			st.cancel(Error.Wrap(err))
			return
		}
		timer.Reset(markInterval)
	}
}

// take returns the next message.
func (st *stream) take() *laburnumv1.OrderResults {
	message := &laburnumv1.OrderResults{Mark: st.service.now().Microseconds()}
	st.mu.Lock()
	defer st.mu.Unlock()
	n, bytes := 0, 0
	for n < len(st.results) && n < maxBatchItems && bytes < maxBatchBytes {
		bytes += proto.Size(st.results[n])
		n++
	}
	message.Results = append(message.Results, st.results[:n]...)
	rest := copy(st.results, st.results[n:])
	clear(st.results[rest:])
	st.results = st.results[:rest]
	if rest > 0 {
		signal(st.wake)
	}
	return message
}
