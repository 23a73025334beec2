package leader

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/go-hclog"

	"laburnumrouter/internal/dispatch"
	"laburnumrouter/internal/process/logging"
)

// largeCallBytes is the size of a call or an answer from which on each attempt is logged.
const largeCallBytes = 64 << 10

// attempt is one try of a call at the leader, for the log.
type attempt struct {
	number int
	target string
	bytes  int
	took   time.Duration
	reply  *dispatch.Reply // nil if err is set
	err    error
}

// attemptLog logs attempts of large calls and those that ended with their time, within a limit.
type attemptLog struct {
	log   hclog.Logger
	limit logging.Limit
}

func newAttemptLog(log hclog.Logger) *attemptLog {
	return &attemptLog{log: log, limit: logging.Limit{Lines: 20, Every: time.Second}}
}

func (l *attemptLog) record(call *dispatch.Call, a attempt) {
	answered := 0
	outcome := dispatch.Outcome("")
	if a.reply != nil {
		answered, outcome = len(a.reply.Config), a.reply.Outcome
	}
	late := errors.Is(a.err, context.DeadlineExceeded)
	if a.bytes < largeCallBytes && answered < largeCallBytes && !late {
		return
	}
	omitted, ok := l.limit.Allow(time.Now())
	if !ok {
		return
	}
	l.log.Info("call attempted", "op", call.Op, "request", call.RequestID, "path", call.Path, "leader", a.target, "attempt", a.number,
		"bytes", a.bytes, "answer_bytes", answered, "took", a.took, "outcome", outcome, "omitted", omitted, "error", a.err)
}
