package replication

import (
	"context"
	"time"

	"laburnumrouter/internal/connection/peer"
	"laburnumrouter/internal/process/settings"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	// pingAfter is the silence after which a stream's connection is pinged. A stream carries no answers.
	pingAfter = sendTimeout / 2
	// probeLead is how long before a silent connection counts as dead the peer is asked on another one. That it was read
	// is checked graceTime after the peer's answer at the earliest, so that this process had time to read.
	probeLead = sendTimeout / 3
	graceTime = 50 * time.Millisecond
	// probePause is the time between such questions.
	probePause = 100 * time.Millisecond
	// maxUnanswered is the most that a pong waits for: what the buffers on both sides hold.
	maxUnanswered = 2 * ReceiveBufferBytes
)

// silenceLimit returns how long a connection on which a number of bytes was written may be silent: their transfer takes time.
func silenceLimit(written int64) time.Duration {
	return sendTimeout + time.Duration(min(written, maxUnanswered))*time.Second/leastRate
}

// watch cancels a stream whose connection has died. Silence alone doesn't show that: the peer, or this process, may only be slow to run.
// The connection is dead if the peer answers on a new one and the old one stays silent. It ends with ctx.
func (l *link) watch(ctx context.Context, conn *peer.Watched, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		if rest := remaining(conn) - probeLead; rest > 0 {
			sleep(ctx, rest)
			continue
		}
		if !l.answers(ctx) {
			sleep(ctx, probePause)
			continue
		}
		for rest := max(graceTime, remaining(conn)); ctx.Err() == nil && 0 < rest && rest <= probeLead; rest = remaining(conn) {
			sleep(ctx, rest)
		}
		if silent, written := conn.Silence(); ctx.Err() == nil && silent >= silenceLimit(written) {
			l.log.Info("connection to a member is silent; it answers on another one", "address", l.address, "silent", silent, "written", written)
			cancel()
		}
	}
}

// remaining returns how long a connection may still be silent.
func remaining(conn *peer.Watched) time.Duration {
	silent, written := conn.Silence()
	return silenceLimit(written) - silent
}

// answers reports whether the peer answers an empty stream on a new connection within sendTimeout.
func (l *link) answers(ctx context.Context) bool {
	dialer := l.dial()
	defer dialer.CloseIdle()
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return ask(ctx, dialer.Peer(settings.Peer{Address: l.address})) == nil
}

// ask opens a stream with an empty message and waits for the answer.
func ask(ctx context.Context, p *peer.Peer) error {
	s, err := p.Replica.Stream(ctx)
	if err != nil {
		return err
	}
	_ = s.Send(&laburnumv1.StepRequest{}) // the answer tells whether it failed
	_, err = s.CloseAndReceive()
	return err
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
