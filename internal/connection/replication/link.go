package replication

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"

	"laburnumrouter/internal/connection/peer"
	"laburnumrouter/internal/process/logging"
	"laburnumrouter/internal/process/settings"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	// sendTimeout bounds one Step call, one send on a stream, and the check whether a peer knows streams. After a timeout the
	// peer is dialled again, before an election timeout has passed. A large message gets more time, at leastRate.
	sendTimeout = 600 * time.Millisecond
	// maxPieceBytes bounds what is sent at once on a stream, unless a single message is larger: sendTimeout is for each piece, so that a
	// long batch that moves isn't cut off, and the peer handles one piece while the next one is on its way.
	maxPieceBytes = 128 << 10
	// leastRate is the rate in bytes a second at which a message still moves.
	leastRate = 256 << 10
	// maxQueuedMessages bounds the queue to one peer, beside its size in bytes. When it is full, the queued messages are dropped;
	// the log sends them again.
	maxQueuedMessages = 256
	// idleTimeout is the time without messages after which a stream is closed.
	idleTimeout = 10 * time.Second
	// stepPeriod is how long Step is used for a peer that doesn't know streams before it is asked again. It may have been
	// replaced by a newer version meanwhile.
	stepPeriod = 10 * time.Second
	// failureLogInterval is the least time between lines about streams to one peer that failed.
	failureLogInterval = time.Second
)

// link is the connection to one peer and the queue of messages to it. One goroutine sends one batch at a time, in order,
// and runs only while there are messages or a stream is open.
type link struct {
	id      uint64
	address string
	dial    func() *peer.Dialer
	// maxBytes bounds the queue in bytes; 0 means no limit.
	maxBytes int
	log      hclog.Logger
	wake     chan struct{} // holds an element if the queue is not empty

	mu      sync.Mutex
	calls   *peer.Dialer // of peer
	watched *peer.Watched
	peer    *peer.Peer
	streams *peer.Peer // of watched, whose connection is for streams only
	queue   []*laburnumv1.ReplicaMessage
	bytes   int // total size of queue
	running bool

	// The fields below are used by the sending goroutine only.
	connection uint64 // number of the newest connection
	stream     *stream
	streaming  bool      // the peer is known to support streams
	stepUntil  time.Time // Step is used until then
	// failureLoggedAt is when a failed stream was last logged, failuresOmitted how many were not since.
	failureLoggedAt time.Time
	failuresOmitted int
	largeLog        logging.Limit
}

func newLink(address string, dial func() *peer.Dialer, maxBytes int) *link {
	l := &link{id: rand.Uint64() | 1, address: address, dial: dial, maxBytes: maxBytes, log: hclog.NewNullLogger(), wake: make(chan struct{}, 1), largeLog: logging.Limit{Lines: 5, Every: failureLogInterval}}
	l.redial()
	return l
}

// enqueue queues messages and starts the sending goroutine unless it is running.
func (l *link) enqueue(messages []*laburnumv1.ReplicaMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	bytes := sizeOf(messages)
	if len(l.queue)+len(messages) > maxQueuedMessages || l.maxBytes > 0 && l.bytes+bytes > l.maxBytes {
		l.queue, l.bytes = nil, 0
	}
	l.queue = append(l.queue, messages...)
	l.bytes += bytes
	select {
	case l.wake <- struct{}{}:
	default:
	}
	if !l.running {
		l.running = true
		go l.run()
	}
}

// run sends what is queued until there was nothing for idleTimeout.
func (l *link) run() {
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-l.wake:
			if batch := l.takeQueue(); len(batch) > 0 {
				l.send(batch)
			}
			idle.Reset(idleTimeout)
		case <-idle.C:
			if l.stopIfIdle() {
				return
			}
		}
	}
}

func sizeOf(messages []*laburnumv1.ReplicaMessage) (bytes int) {
	for _, m := range messages {
		bytes += len(m.Data)
	}
	return bytes
}

func (l *link) takeQueue() []*laburnumv1.ReplicaMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := l.queue
	l.queue, l.bytes = nil, 0
	return batch
}

// stopIfIdle closes the stream and lets the sending goroutine end, unless messages are queued.
func (l *link) stopIfIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) > 0 {
		return false
	}
	l.closeStream()
	l.running = false
	return true
}

// send sends a batch on the stream, or by Step if the peer doesn't know streams. If the stream has failed, the batch is
// sent once more on a new one.
func (l *link) send(batch []*laburnumv1.ReplicaMessage) {
	for range 2 {
		if !l.supportsStreams() {
			l.step(batch)
			return
		}
		opened := l.stream == nil
		began := time.Now()
		err := l.sendOnStream(batch)
		if err == nil {
			return
		}
		l.logFailure(batch, time.Since(began), opened, err)
		l.closeStream()
		// A connection that worked may be dead, and one on which nothing moves is.
		if !opened || errors.Is(err, context.Canceled) {
			l.redial()
		}
		if connect.CodeOf(err) == connect.CodeUnimplemented {
			l.streaming = false
		} else if opened {
			return
		}
	}
}

// supportsStreams reports whether the peer knows streams. It asks the peer first, by a stream with an empty message, so that
// no batch is lost on a stream that the peer refuses.
func (l *link) supportsStreams() bool {
	if l.streaming || time.Now().Before(l.stepUntil) {
		return l.streaming
	}
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	_, streams, _ := l.peers()
	err := ask(ctx, streams)
	switch {
	case err == nil:
		l.streaming = true
	case connect.CodeOf(err) == connect.CodeUnimplemented:
		l.stepUntil = time.Now().Add(stepPeriod)
	case ctx.Err() != nil:
		l.redial()
	}
	return l.streaming
}

// stream is an open stream.
type stream struct {
	*connect.ClientStreamForClientSimple[laburnumv1.StepRequest, laburnumv1.StepResponse]
	cancel context.CancelFunc
	// watchdog cancels the stream. It runs while a message is being sent.
	watchdog *time.Timer
}

// sendOnStream sends a batch on the stream, piece by piece, and opens one if there is none.
func (l *link) sendOnStream(batch []*laburnumv1.ReplicaMessage) error {
	for len(batch) > 0 {
		n, bytes := firstPiece(batch)
		if err := l.sendPiece(batch[:n], bytes); err != nil {
			return err
		}
		batch = batch[n:]
	}
	return nil
}

// firstPiece returns how many messages of a batch are sent at once, and their size.
func firstPiece(batch []*laburnumv1.ReplicaMessage) (n, bytes int) {
	for n < len(batch) && (n == 0 || bytes+len(batch[n].Data) <= maxPieceBytes) {
		bytes += len(batch[n].Data)
		n++
	}
	return n, bytes
}

// sendTime returns how long a number of bytes may take.
func sendTime(bytes int) time.Duration {
	return sendTimeout + time.Duration(max(0, bytes-maxPieceBytes))*time.Second/leastRate
}

func (l *link) sendPiece(piece []*laburnumv1.ReplicaMessage, bytes int) error {
	req := &laburnumv1.StepRequest{Messages: piece}
	limit := sendTime(bytes)
	if l.stream == nil {
		ctx, cancel := context.WithCancel(context.Background())
		_, streams, watched := l.peers()
		client, err := streams.Replica.Stream(ctx)
		if err != nil {
			cancel()
			return err
		}
		l.connection++
		req.Link, req.Connection = l.id, l.connection
		l.stream = &stream{client, cancel, time.AfterFunc(limit, cancel)}
		go l.watch(ctx, watched, cancel)
	} else {
		l.stream.watchdog.Reset(limit)
	}
	defer l.stream.watchdog.Stop()
	began := time.Now()
	err := l.stream.Send(req)
	l.logLarge(piece, bytes, limit, time.Since(began), err)
	if errors.Is(err, io.EOF) { // the stream has ended; its response tells why
		_, err = l.stream.CloseAndReceive()
		if err == nil {
			err = io.EOF
		}
	}
	return err
}

// logFailure logs that a stream has failed, at most once in failureLogInterval.
func (l *link) logFailure(batch []*laburnumv1.ReplicaMessage, took time.Duration, opened bool, err error) {
	now := time.Now()
	if now.Sub(l.failureLoggedAt) < failureLogInterval {
		l.failuresOmitted++
		return
	}
	l.log.Info("stream to a member failed; what it lacks is sent again", "address", l.address, "messages", len(batch), "bytes", sizeOf(batch),
		"took", took, "new", opened, "omitted", l.failuresOmitted, "error", err)
	l.failureLoggedAt, l.failuresOmitted = now, 0
}

// logLarge logs what became of a message that exceeds a piece. When the stream has failed, the cause follows by logFailure.
func (l *link) logLarge(piece []*laburnumv1.ReplicaMessage, bytes int, limit, took time.Duration, err error) {
	if bytes <= maxPieceBytes {
		return
	}
	if omitted, ok := l.largeLog.Allow(time.Now()); ok {
		l.log.Info("large message written to a member's stream", "address", l.address, "to", piece[0].To, "bytes", bytes, "took", took,
			"limit", limit, "given_up", err != nil, "omitted", omitted)
	}
}

func (l *link) closeStream() {
	if l.stream != nil {
		l.stream.cancel()
		l.stream = nil
	}
}

// step sends a batch by a Step call. After a timeout a late arrival of the batch must not follow later ones, which
// therefore belong to a new connection.
func (l *link) step(batch []*laburnumv1.ReplicaMessage) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTime(sizeOf(batch)))
	defer cancel()
	if l.connection == 0 {
		l.connection = 1
	}
	p, _, _ := l.peers()
	_, err := p.Replica.Step(ctx, &laburnumv1.StepRequest{Messages: batch, Link: l.id, Connection: l.connection})
	if err != nil && ctx.Err() != nil {
		l.connection++
		l.redial()
	}
}

// redial replaces the connections, which may be dead, by new ones.
func (l *link) redial() {
	calls := l.dial()
	watched := calls.Watched(pingAfter)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.calls != nil {
		l.calls.CloseIdle()
		l.watched.CloseIdle()
	}
	l.calls, l.watched = calls, watched
	l.peer = calls.Peer(settings.Peer{Address: l.address})
	l.streams = watched.Peer(settings.Peer{Address: l.address})
}

// peers returns the peer with its current connections, for calls and for streams, and the dialer of the latter.
func (l *link) peers() (calls, streams *peer.Peer, watched *peer.Watched) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peer, l.streams, l.watched
}
