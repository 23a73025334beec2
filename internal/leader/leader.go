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
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"laburnumrouter/internal/dispatch"
	"laburnumrouter/internal/version/accepted"
)

// Error is the class of all errors of this package.
var Error = errs.Class("leader")

const (
	// dialTimeout bounds connection setup; a round trip between data centres takes a few milliseconds.
	dialTimeout = 300 * time.Millisecond
	// attemptTimeout bounds one attempt of a call. A commit takes about 30 ms, so a connection that is silent for this
	// long is given up.
	attemptTimeout = 900 * time.Millisecond
	// leaderCheckDelay is how long a call may stay unanswered before the client checks whether another instance leads now:
	// the time of about ten commits. It repeats the check every leaderCheckInterval.
	leaderCheckDelay    = 250 * time.Millisecond
	leaderCheckInterval = 150 * time.Millisecond
	// checkTimeout bounds the check that the leader still leads. It leaves time for TCP to resend a lost packet, which it
	// does after 200 ms.
	checkTimeout = 400 * time.Millisecond
	// searchTimeout bounds one search for the leader.
	searchTimeout = 250 * time.Millisecond
	// seedReadInterval is the least time between reads of the seeds.
	seedReadInterval = time.Second
	// searchBackoff is the pause after a search that found no leader. Calls made meanwhile fail at once.
	searchBackoff = 100 * time.Millisecond
	// maxConns bounds the connections to one control instance. Each call takes a few milliseconds.
	maxConns = 32
	// defaultCallTime is the time of a call without a deadline.
	defaultCallTime = 2 * time.Second
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
	// Leader is the address of the leader that the instance follows; empty if unknown.
	Leader string `json:",omitempty"`
	// Members are the addresses of all control instances.
	Members []string `json:",omitempty"`
	// Limits are the request limits of the newest configuration that the instance knows.
	Limits accepted.Limits
}

// Client forwards calls to the leader. It is safe for concurrent use.
type Client struct {
	http *http.Client
	log  hclog.Logger
	// local executes calls in this process while this instance leads; nil on entry instances.
	local *dispatch.Dispatcher
	// timeoutPerAttempt bounds one attempt of a call; attemptTimeout except in tests.
	timeoutPerAttempt time.Duration

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
	limits         accepted.Limits
	cutOff         bool          // the last search found no leader and reached no majority of the members
	searchDone     chan struct{} // closed when the current search ends; nil if none is running
}

// NewClient returns a client that starts its search for the leader at the seeds, the addresses of some control instances.
// local is the dispatcher of this process, or nil on entry instances.
func NewClient(seeds []string, local *dispatch.Dispatcher, log hclog.Logger) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: 5 * time.Second}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxConnsPerHost: maxConns, MaxIdleConnsPerHost: maxConns,
		IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
	return &Client{http: &http.Client{Transport: transport}, log: log, local: local, seeds: seeds, timeoutPerAttempt: attemptTimeout,
		startedAt: time.Now(), leaderFound: make(chan struct{})}
}

// ReadSeedsWith sets a function that reads the seed addresses anew. It is called at most once in seedReadInterval, and only
// while no leader is found: all seeds may be gone. It must be set before the client is used.
func (c *Client) ReadSeedsWith(read func() ([]string, error)) { c.readSeeds = read }

// Seeds returns the seed addresses.
func (c *Client) Seeds() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.seeds)
}

// RefreshSeeds reads the seeds anew, unless that was done within seedReadInterval.
func (c *Client) RefreshSeeds() {
	c.mu.Lock()
	due := c.readSeeds != nil && time.Since(c.seedsReadAt) >= seedReadInterval
	if due {
		c.seedsReadAt = time.Now()
	}
	c.mu.Unlock()
	if !due {
		return
	}
	seeds, err := c.readSeeds()
	if err != nil || len(seeds) == 0 {
		c.log.Warn("seeds cannot be read anew", "error", err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.Equal(seeds, c.seeds) {
		c.log.Info("seeds changed", "before", c.seeds, "after", seeds)
		c.seeds = seeds
	}
}

// SetSeeds replaces the seed addresses after the settings were reloaded.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}

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
	body, err := json.Marshal(call)
	if err != nil {
		return &dispatch.Reply{Outcome: dispatch.Invalid, Reason: err.Error()}
	}
	anyMayHaveRun := false
	for {
		reply, attemptMayHaveRun, err := c.try(ctx, call, body)
		anyMayHaveRun = anyMayHaveRun || attemptMayHaveRun
		if err == nil {
			return reply
		}
		if errors.Is(err, errNoLeader) && c.awaitLeader(ctx, call, len(body)) {
			continue
		}
		if errors.Is(err, errNoLeader) || ctx.Err() != nil {
			return failedReply(anyMayHaveRun, err)
		}
	}
}

// awaitLeader waits for a leader if one is to be expected soon, and reports whether one was found.
func (c *Client) awaitLeader(ctx context.Context, call *dispatch.Call, bytes int) bool {
	began := time.Since(c.startedAt)
	deadline := began + defaultCallTime
	if d, ok := ctx.Deadline(); ok {
		deadline = d.Sub(c.startedAt)
	}
	c.mu.Lock()
	if c.leader != "" {
		c.mu.Unlock()
		return true
	}
	until, admitted := c.gap.admit(began, deadline, bytes, !c.cutOff)
	waiting := c.gap.waiting
	c.mu.Unlock()
	if !admitted {
		return false
	}
	found := c.waitForLeader(ctx, until)
	c.mu.Lock()
	c.gap.release(bytes)
	c.mu.Unlock()
	c.log.Info("call waited for a leader", "op", call.Op, "request", call.RequestID, "path", call.Path, "found", found,
		"waited", time.Since(c.startedAt)-began, "bound", until-began, "waiting", waiting)
	return found
}

// waitForLeader searches until a leader is found or the time since startedAt is until.
func (c *Client) waitForLeader(ctx context.Context, until time.Duration) bool {
	bound := time.NewTimer(until - time.Since(c.startedAt))
	defer bound.Stop()
	for {
		c.mu.Lock()
		leader, found := c.leader, c.leaderFound
		if leader == "" && time.Since(c.searchFailedAt) >= searchBackoff {
			c.ensureSearchLocked()
		}
		c.mu.Unlock()
		if leader != "" {
			return true
		}
		select {
		case <-found:
		case <-time.After(searchBackoff):
		case <-bound.C:
			return false
		case <-ctx.Done():
			return false
		}
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

// try makes one attempt, locally if this instance leads. If err is set, mayHaveRun reports whether the call may have been
// executed nevertheless.
func (c *Client) try(ctx context.Context, call *dispatch.Call, body []byte) (reply *dispatch.Reply, mayHaveRun bool, err error) {
	if c.local != nil && c.local.Leads() {
		reply, err := c.local.Do(ctx, call)
		if err == nil {
			return reply, false, nil
		}
	}
	target, err := c.findLeader(ctx)
	if err != nil {
		return nil, false, err
	}
	reply, mayHaveRun, err = c.send(ctx, target, body)
	if err == nil {
		c.recordContact()
		return reply, false, nil
	}
	c.dropLeader(target, err)
	return nil, mayHaveRun, err
}

// send posts a call to an instance. Its results are those of try.
func (c *Client) send(ctx context.Context, target string, body []byte) (reply *dispatch.Reply, mayHaveRun bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeoutPerAttempt)
	defer cancel()
	replacementCheck := time.AfterFunc(leaderCheckDelay, func() { c.cancelWhenReplaced(ctx, target, cancel) })
	defer replacementCheck.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+CallPath, bytes.NewReader(body))
	if err != nil {
		return nil, false, Error.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, !dialFailed(err), Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusMisdirectedRequest {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodyBytes))
		return nil, false, Error.New("%s does not lead", target)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, true, Error.New("%s answered with HTTP status %d", target, resp.StatusCode)
	}
	reply = &dispatch.Reply{}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(reply); err != nil {
		return nil, true, Error.Wrap(err)
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

// refreshLeader searches for the leader even if one is known, and returns its address. Concurrent callers share one search.
func (c *Client) refreshLeader(ctx context.Context) string {
	c.mu.Lock()
	searchDone := c.ensureSearchLocked()
	c.mu.Unlock()
	select {
	case <-searchDone:
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// ensureSearchLocked starts a search unless one is running, and returns the channel that is closed when it ends. The caller
// holds c.mu.
func (c *Client) ensureSearchLocked() chan struct{} {
	if c.searchDone == nil {
		c.searchDone = make(chan struct{})
		go c.search(c.searchDone)
	}
	return c.searchDone
}

// dialFailed reports whether the connection could not be opened, so that nothing was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
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

// findLeader returns the leader's address and searches for it if none is known. Concurrent callers share one search.
func (c *Client) findLeader(ctx context.Context) (string, error) {
	c.mu.Lock()
	if c.leader != "" {
		defer c.mu.Unlock()
		return c.leader, nil
	}
	if time.Since(c.searchFailedAt) < searchBackoff {
		c.mu.Unlock()
		return "", errNoLeader
	}
	searchDone := c.ensureSearchLocked()
	c.mu.Unlock()
	select {
	case <-searchDone:
	case <-ctx.Done():
		return "", errNoLeader
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" {
		return "", errNoLeader
	}
	return c.leader, nil
}

// search probes all known instances, and those that they name, and takes the first that reports itself as the leader.
// It closes searchDone at the end.
func (c *Client) search(searchDone chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), searchTimeout)
	defer cancel()
	found, answered := c.probeAll(ctx)
	if found == "" {
		c.RefreshSeeds()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.updateCutOffLocked(found != "", answered)
	switch {
	case found == "":
		c.searchFailedAt = now
	case found != c.leader:
		lost := time.Duration(0)
		if c.gap.open {
			lost = now.Sub(c.startedAt) - c.gap.since
		}
		c.log.Info("leader found", "leader", found, "lost_for", lost)
		c.leader, c.lastContact = found, now
		c.gap.end()
		close(c.leaderFound)
		c.leaderFound = make(chan struct{})
	}
	c.searchDone = nil
	close(searchDone)
}

// updateCutOffLocked sets cutOff from the result of a search: no leader found, and at most half of the instances answered.
// The caller holds c.mu.
func (c *Client) updateCutOffLocked(found bool, answered int) {
	isCutOff := !found && 2*answered <= max(len(c.members), len(c.seeds))
	if isCutOff != c.cutOff {
		c.log.Warn("reach of control changed", "cut_off", isCutOff, "answered", answered, "members", len(c.members))
	}
	c.cutOff = isCutOff
}

// probeResult is the response of one instance to a probe.
type probeResult struct {
	address string
	status  *LeaderStatus // nil if it didn't answer
}

// probeAll probes every known instance and those that they name. It returns the address of the leader, or "", and how many
// instances answered up to then.
func (c *Client) probeAll(ctx context.Context) (leader string, answered int) {
	results := make(chan probeResult)
	probed := make(map[string]bool)
	pending := 0
	startProbes := func(targets ...string) {
		for _, target := range targets {
			if target == "" || probed[target] {
				continue
			}
			probed[target] = true
			pending++
			go func() {
				status, err := c.probe(ctx, target)
				if err != nil {
					status = nil
				}
				select {
				case results <- probeResult{target, status}:
				case <-ctx.Done():
				}
			}()
		}
	}
	startProbes(c.knownAddresses()...)
	for ; pending > 0; pending-- {
		select {
		case a := <-results:
			if a.status == nil {
				continue
			}
			answered++
			c.applyStatus(a.status)
			if a.status.Leads {
				return a.address, answered
			}
			startProbes(a.status.Leader)
			startProbes(a.status.Members...)
		case <-ctx.Done():
			return "", answered
		}
	}
	return "", answered
}

// knownAddresses returns the addresses of the seeds and the members, sorted and without duplicates.
func (c *Client) knownAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := slices.Concat(c.seeds, c.members)
	slices.Sort(list)
	return slices.Compact(list)
}

func (c *Client) applyStatus(status *LeaderStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(status.Members) > 0 {
		c.members = status.Members
	}
	if status.Leads {
		c.limits = status.Limits
	}
}

// probe asks one instance for its report about the leader.
func (c *Client) probe(ctx context.Context, target string) (*LeaderStatus, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target+LeaderPath, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	status := &LeaderStatus{}
	return status, Error.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(status))
}

// idleCheckInterval is the time between checks of the leader while no calls are sent. Readiness depends on these checks.
const idleCheckInterval = time.Second

// statusRefreshInterval is the longest time between checks of a leader that answers calls: the members and the limits may
// have changed.
const statusRefreshInterval = 5 * time.Second

// MonitorLeader searches for the leader while none is known, and checks regularly that the known one still leads, until
// ctx ends.
func (c *Client) MonitorLeader(ctx context.Context) {
	lastProbe := time.Time{}
	for ctx.Err() == nil {
		pause := idleCheckInterval
		if time.Since(c.LastContact()) >= idleCheckInterval || time.Since(lastProbe) >= statusRefreshInterval {
			lastProbe = time.Now()
			if !c.checkLeader(ctx) {
				pause = searchBackoff
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// checkLeader reports whether the leader answers and still leads; otherwise it drops the leader.
func (c *Client) checkLeader(ctx context.Context) bool {
	target, err := c.findLeader(ctx)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	status, err := c.probe(ctx, target)
	if err == nil && !status.Leads {
		err = Error.New("%s no longer leads", target)
	}
	if err != nil {
		c.dropLeader(target, err)
		return false
	}
	c.applyStatus(status)
	c.recordContact()
	return true
}
