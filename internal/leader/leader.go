// Package leader discovers the control instance that leads the control log and forwards calls to it. Entry and control
// instances both use it.
package leader

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"laburnumrouter/internal/dispatch"
	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/process/logging"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/version/accepted"
)

// Error is the class of all errors of this package.
var Error = errs.Class("leader")

const (
	// dialTimeout bounds connection setup; a round trip between data centres takes a few milliseconds.
	dialTimeout = 300 * time.Millisecond
	// attemptTimeout bounds one attempt of a call. A commit takes about 30 ms, so a connection that is silent for this
	// long is given up. Whether the leader is, attemptFailed decides.
	attemptTimeout = 900 * time.Millisecond
	// attemptTimePerMiB is what an attempt gets in addition for the size of its body.
	attemptTimePerMiB = time.Second
	// leaderCheckDelay is how long a call may stay unanswered before the client checks whether another instance leads now:
	// the time of about ten commits. It repeats the check every leaderCheckInterval.
	leaderCheckDelay    = 250 * time.Millisecond
	leaderCheckInterval = 150 * time.Millisecond
	// checkTimeout bounds the check that the leader still leads. It leaves time for TCP to resend a lost packet, which it
	// does after 200 ms.
	checkTimeout = 400 * time.Millisecond
	// searchTimeout bounds one search for the leader.
	searchTimeout = 250 * time.Millisecond
	// searchBackoff is the pause after a search that found no leader. Calls made meanwhile fail at once.
	searchBackoff = 100 * time.Millisecond
	// maxConns bounds the connections to one control instance. Each call takes a few milliseconds.
	maxConns = 32
	// defaultCallTime is the time of a call without a deadline.
	defaultCallTime = 2 * time.Second
	// renewalTime is how long after its arrival an order for a data centre may be renewed because there was a newer one. An
	// operator who gets no answer within one second gives another order, which must not be undone.
	renewalTime = 900 * time.Millisecond
	// idleTimeout is how long an unused connection stays open.
	idleTimeout = 30 * time.Second
	// maxBodyBytes bounds the size of a request or response body; the largest one carries a configuration.
	maxBodyBytes = 16 << 20
)

// HTTP paths of the interface between processes.
const (
	CallPath   = "/jobs/call"
	LeaderPath = "/jobs/leader"
)

// LeaderStatus is a control instance's report about the current leader.
type LeaderStatus struct {
	// Leads is set if the reporting instance is certain that it is the leader.
	Leads bool
	// Failing is set if the reporting instance takes no part in the log because its data folder can't be written.
	Failing bool `json:",omitempty"`
	// Leader is the address of the leader that the instance follows; empty if unknown.
	Leader string `json:",omitempty"`
	// Members are the addresses of all control instances.
	Members []string `json:",omitempty"`
	// Limits are the request limits of the newest configuration that the instance knows.
	Limits accepted.Limits
	// Format is the newest format of commands that the instance understands.
	Format int `json:",omitempty"`
	// Applied is the index of the newest log entry that the instance has applied; 0 from instances of an earlier version.
	Applied uint64 `json:",omitempty"`
	// DataCentre is where the instance runs. An instance of an earlier version, which reports none, answers no reads unless
	// it leads.
	DataCentre string `json:",omitempty"`
}

// Client forwards calls to the leader. It is safe for concurrent use.
type Client struct {
	http *http.Client
	log  hclog.Logger
	// attempts logs what became of large and late calls.
	attempts *attemptLog
	// handIns limits the lines about configurations that are sent in chunks.
	handIns logging.Limit
	// local executes calls in this process while this instance leads; nil on entry instances and while none is set.
	local atomic.Pointer[dispatch.Dispatcher]
	// timeoutPerAttempt bounds one attempt of a call; attemptTimeout except in tests.
	timeoutPerAttempt time.Duration

	checking atomic.Bool // a check of checkSoon is running

	startedAt time.Time
	// readSeeds reads the seeds anew while no leader is found; nil if they never change.
	readSeeds func() ([]string, error)

	mu             sync.Mutex
	seeds          []string
	members        []string
	leader         string
	gap            gap           // its times are since startedAt
	leaderFound    chan struct{} // closed when a leader is found
	searchFailedAt time.Time
	seedsReadAt    time.Time
	lastContact    time.Time
	formats        map[string]int // by address, as last reported
	limits         accepted.Limits
	near           near
	// seen is the index of the newest log entry that an answer or a leader's report may have reflected. No read is answered from a state
	// before it.
	seen       uint64
	cutOff     bool          // the last search found no leader and reached no majority of the members
	searchDone chan struct{} // closed when the current search ends; nil if none is running
}

// NewClient returns a client that starts its search for the leader at the seeds, the addresses of some control instances.
// local is the dispatcher of this process, or nil on entry instances.
func NewClient(seeds []string, local *dispatch.Dispatcher, log hclog.Logger) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: 5 * time.Second}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxConnsPerHost: maxConns, MaxIdleConnsPerHost: maxConns,
		IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
	c := &Client{http: &http.Client{Transport: transport}, log: log, attempts: newAttemptLog(log), seeds: seeds, timeoutPerAttempt: attemptTimeout,
		startedAt: time.Now(), handIns: logging.Limit{Lines: 50, Every: time.Second}, leaderFound: make(chan struct{}), formats: make(map[string]int)}
	c.local.Store(local)
	return c
}

// SetLocal replaces the dispatcher of this process; nil means that there is none.
func (c *Client) SetLocal(local *dispatch.Dispatcher) { c.local.Store(local) }

// LastContact returns the time of the leader's last response.
func (c *Client) LastContact() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastContact
}

// CutOff reports whether this process reaches less than a majority of the control instances. An election among them
// would not restore its service.
func (c *Client) CutOff() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cutOff
}

// Limits returns the limits on callers' requests that the leader last reported; zero before its first report.
func (c *Client) Limits() accepted.Limits {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limits
}

// Do forwards a call to the leader. All operations are idempotent, so a call with an unknown outcome is sent again until
// it is answered, no leader is to be expected soon or ctx ends. The reply's outcome is Unavailable only if the call was
// certainly not executed, and OutcomeUnknown if it may have been.
func (c *Client) Do(ctx context.Context, call *dispatch.Call) *dispatch.Reply {
	if call.RequestID == "" {
		call.RequestID = uuid.NewString()
	}
	if call.Op == dispatch.OpPutConfig && call.Config != nil {
		return c.putConfig(ctx, call)
	}
	reply, _ := c.forward(ctx, call)
	return reply
}

// forward sends a call as Do describes. mayHaveRun reports whether an attempt without an answer may have been executed.
func (c *Client) forward(ctx context.Context, call *dispatch.Call) (reply *dispatch.Reply, mayHaveRun bool) {
	if call.Op == dispatch.OpState || call.Op == dispatch.OpPending {
		call.AtLeast = c.seenIndex()
	}
	body, err := json.Marshal(call)
	if err != nil {
		return &dispatch.Reply{Outcome: dispatch.Invalid, Reason: err.Error()}, false
	}
	anyMayHaveRun, began := false, boottime.Now()
	for number := 1; ; number++ {
		reply, attemptMayHaveRun, err := c.try(ctx, call, body, number)
		anyMayHaveRun = anyMayHaveRun || attemptMayHaveRun
		if err == nil {
			renewed, outdated := call.Renew(reply)
			if !outdated || ctx.Err() != nil || boottime.Now()-began > renewalTime {
				return settleReply(call, reply, anyMayHaveRun), anyMayHaveRun
			}
			call = renewed
			if body, err = json.Marshal(call); err != nil {
				return &dispatch.Reply{Outcome: dispatch.Invalid, Reason: err.Error()}, anyMayHaveRun
			}
			continue
		}
		if errors.Is(err, errNoLeader) && c.awaitLeader(ctx, call, len(body)) {
			continue
		}
		if errors.Is(err, errNoLeader) || ctx.Err() != nil {
			return failedReply(anyMayHaveRun, err), anyMayHaveRun
		}
	}
}

// settleReply returns the reply to the caller. A refusal of a submission says that the job never runs, which isn't certain if
// an earlier attempt may have been accepted: key, queue or load may have changed since.
func settleReply(call *dispatch.Call, reply *dispatch.Reply, earlierMayHaveRun bool) *dispatch.Reply {
	if call.Op != dispatch.OpSubmit || !earlierMayHaveRun || reply.Outcome == dispatch.OK || reply.Outcome == dispatch.OutcomeUnknown {
		return reply
	}
	return &dispatch.Reply{
		Outcome: dispatch.OutcomeUnknown, Leader: reply.Leader,
		Reason: "an earlier attempt may have been accepted; this one was not: " + reply.Reason,
	}
}

func failedReply(anyMayHaveRun bool, err error) *dispatch.Reply {
	if anyMayHaveRun {
		return &dispatch.Reply{Outcome: dispatch.OutcomeUnknown, Reason: err.Error()}
	}
	return &dispatch.Reply{Outcome: dispatch.Unavailable, Reason: err.Error(), RetryAfterMS: retryAfter(rand.Float64()).Milliseconds()}
}

// errNoLeader is returned when no reachable instance reports that it leads.
var errNoLeader = Error.New("no control instance leads that can be reached")

// try makes one attempt, the first of which has the number 1, locally if this instance leads. If err is set, mayHaveRun reports whether
// the call may have been executed nevertheless.
func (c *Client) try(ctx context.Context, call *dispatch.Call, body []byte, number int) (reply *dispatch.Reply, mayHaveRun bool, err error) {
	if local := c.local.Load(); local != nil && local.Leads() {
		reply, err := local.Do(ctx, call)
		if err == nil {
			return reply, false, nil
		}
	}
	if reply := c.readOwn(ctx, call); reply != nil {
		return reply, false, nil
	}
	if reply := c.readNear(ctx, call, body); reply != nil {
		return reply, false, nil
	}
	target, err := c.findLeader(ctx)
	if err != nil {
		return nil, false, err
	}
	if call.InChunks() && c.formatOf(target) < ledger.FormatConfigChunks {
		return wholeWanted(), false, nil
	}
	began := time.Now()
	reply, mayHaveRun, err = c.send(ctx, target, body)
	c.attempts.record(call, attempt{number: number, target: target, bytes: len(body), took: time.Since(began), reply: reply, err: err})
	if err == nil {
		c.recordContact()
		c.saw(reply.Index)
		return understood(call, reply), false, nil
	}
	c.attemptFailed(ctx, target, began, err)
	return nil, mayHaveRun, err
}

// send posts a call to an instance. Its results are those of try.
func (c *Client) send(ctx context.Context, target string, body []byte) (reply *dispatch.Reply, mayHaveRun bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeoutPerAttempt+sendTime(len(body)))
	defer cancel()
	replacementCheck := time.AfterFunc(leaderCheckDelay, func() { c.cancelWhenReplaced(ctx, target, cancel) })
	defer replacementCheck.Stop()
	reply, misdirected, err := c.post(ctx, target, body)
	return reply, err != nil && !misdirected && !dialFailed(err), err
}

// sendTime returns the time that an attempt gets for the size of its body.
func sendTime(body int) time.Duration {
	return time.Duration(float64(body) / (1 << 20) * float64(attemptTimePerMiB))
}

// post posts a call to an instance. misdirected is set if the instance answered that it doesn't lead.
func (c *Client) post(ctx context.Context, target string, body []byte) (reply *dispatch.Reply, misdirected bool, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+CallPath, bytes.NewReader(body))
	if err != nil {
		return nil, true, Error.Wrap(err) // nothing was sent
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, false, Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusMisdirectedRequest {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodyBytes))
		return nil, true, Error.New("%s does not lead", target)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, false, Error.New("%s answered with HTTP status %d", target, resp.StatusCode)
	}
	reply = &dispatch.Reply{}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(reply); err != nil {
		return nil, false, Error.Wrap(err)
	}
	return reply, false, nil
}

// cancelWhenReplaced cancels an unanswered call to target as soon as another instance leads.
func (c *Client) cancelWhenReplaced(ctx context.Context, target string, cancelCall func()) {
	for ctx.Err() == nil {
		if leader := c.refreshLeader(ctx); leader != "" && leader != target {
			c.log.Info("call is taken from a leader that was replaced", "from", target, "leader", leader)
			cancelCall()
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(leaderCheckInterval):
		}
	}
}

// dialFailed reports whether the connection could not be opened, so that nothing was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// saw records that an answer or a leader's report may reflect a log entry.
func (c *Client) saw(index uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen = max(c.seen, index)
}

func (c *Client) seenIndex() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.seen
}

func (c *Client) recordContact() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastContact, c.cutOff = time.Now(), false
}

// dropLeader forgets the leader if it is target, which failed with err.
func (c *Client) dropLeader(target string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == target {
		c.leader = ""
		c.gap.begin(time.Since(c.startedAt))
		c.log.Warn("leader lost", "leader", target, "error", err)
	}
}
