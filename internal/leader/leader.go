// Package leader finds the control instance that leads and hands calls to it. Entries and control instances share it.
package leader

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
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
	// dialTimeout bounds a new connection; between data centres a round trip takes some ms.
	dialTimeout = 300 * time.Millisecond
	// attemptTimeout bounds one try of a call. A commit takes about 30 ms; a link that is silent for longer is given up.
	attemptTimeout = 900 * time.Millisecond
	// doubtAfter is how long a call may stay unanswered before others are asked who leads: ten commits. doubtPause is the
	// time between such questions.
	doubtAfter = 250 * time.Millisecond
	doubtPause = 150 * time.Millisecond
	// checkTimeout bounds the question to a leader whether it still leads; a lost packet is sent again after 200 ms.
	checkTimeout = 400 * time.Millisecond
	// locateTimeout bounds the question who leads.
	locateTimeout = 250 * time.Millisecond
	// locatePause is how long nobody is asked again after nobody led. A refusal is sent meanwhile, at once.
	locatePause = 100 * time.Millisecond
	// retryAfter is what callers are told while nobody leads: an election takes 0.5 to 1 s.
	retryAfter = time.Second
	// maxConns bounds the connections to one control instance; calls take some ms each.
	maxConns = 32
	// idleTimeout closes connections that are no longer used.
	idleTimeout = 30 * time.Second
	// maxReply bounds an answer; a configuration is the largest one.
	maxReply = 16 << 20
)

// Paths of the interface between processes.
const (
	CallPath  = "/jobs/call"
	WherePath = "/jobs/leader"
)

// Whereabouts is what a control instance knows of the leader.
type Whereabouts struct {
	// Leads is set if the instance that answers leads beyond doubt.
	Leads bool
	// Leader is the address of the leader it follows; empty if unknown.
	Leader string `json:",omitempty"`
	// Members are the addresses of all control instances.
	Members []string `json:",omitempty"`
	// Limits are those of the newest configuration that the instance knows.
	Limits accepted.Limits
}

// Client hands calls to the leader. It is safe for concurrent use.
type Client struct {
	http *http.Client
	log  hclog.Logger
	// local carries calls out in this process while it leads; nil on entries.
	local *dispatch.Dispatcher
	// attempt bounds one try of a call.
	attempt time.Duration

	mu      sync.Mutex
	seeds   []string
	members []string
	leader  string
	lostAt  time.Time
	missAt  time.Time
	okAt    time.Time
	limits  accepted.Limits
	cutOff  bool          // the last search reached less than a majority of the members, and no leader
	finding chan struct{} // closed when the search under way ends; nil if there is none
}

// NewClient returns a client that starts from the addresses of some control instances.
func NewClient(seeds []string, local *dispatch.Dispatcher, log hclog.Logger) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: 5 * time.Second}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxConnsPerHost: maxConns, MaxIdleConnsPerHost: maxConns,
		IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
	return &Client{http: &http.Client{Transport: transport}, log: log, local: local, seeds: seeds, attempt: attemptTimeout}
}

// SetSeeds replaces the addresses to start from, after a reload of the settings.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}

// LastContact returns when the leader last answered.
func (c *Client) LastContact() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.okAt
}

// CutOff reports whether this process reaches less than a majority of the control instances, so that an election among
// them wouldn't help it.
func (c *Client) CutOff() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cutOff
}

// Limits returns the bounds of callers' requests as the leader last told them; zero before it did.
func (c *Client) Limits() accepted.Limits {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limits
}

// Do hands a call to the leader. All operations may be repeated, so a call whose fate is unknown is sent again
// until ctx ends. The reply says Unavailable only if the call provably wasn't carried out.
func (c *Client) Do(ctx context.Context, call *dispatch.Call) *dispatch.Reply {
	if call.RequestID == "" {
		call.RequestID = uuid.NewString()
	}
	body, err := json.Marshal(call)
	if err != nil {
		return &dispatch.Reply{Outcome: dispatch.Invalid, Reason: err.Error()}
	}
	sent := false
	for {
		reply, may, err := c.try(ctx, call, body)
		sent = sent || may
		if err == nil {
			return reply
		}
		if errors.Is(err, errNobody) || ctx.Err() != nil {
			return giveUp(sent, err)
		}
	}
}

func giveUp(sent bool, err error) *dispatch.Reply {
	if sent {
		return &dispatch.Reply{Outcome: dispatch.Uncertain, Reason: err.Error()}
	}
	return &dispatch.Reply{Outcome: dispatch.Unavailable, Reason: err.Error(), RetryAfterMS: retryAfter.Milliseconds()}
}

// errNobody is returned when no instance says that it leads.
var errNobody = Error.New("no control instance leads that can be reached")

// try makes one attempt. may reports whether it may have been carried out although err is set.
func (c *Client) try(ctx context.Context, call *dispatch.Call, body []byte) (reply *dispatch.Reply, may bool, err error) {
	if c.local != nil && c.local.Leads() {
		reply, err := c.local.Do(ctx, call)
		if err == nil {
			return reply, false, nil
		}
	}
	target, err := c.find(ctx)
	if err != nil {
		return nil, false, err
	}
	reply, may, err = c.send(ctx, target, body)
	if err == nil {
		c.noteContact()
		return reply, false, nil
	}
	c.forget(target, err)
	return nil, may, err
}

// send posts a call to an instance.
func (c *Client) send(ctx context.Context, target string, body []byte) (reply *dispatch.Reply, may bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.attempt)
	defer cancel()
	doubt := time.AfterFunc(doubtAfter, func() { c.watchOver(ctx, target, cancel) })
	defer doubt.Stop()
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
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxReply))
		return nil, false, Error.New("%s does not lead", target)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, true, Error.New("%s answered %d", target, resp.StatusCode)
	}
	reply = &dispatch.Reply{}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReply)).Decode(reply); err != nil {
		return nil, true, Error.Wrap(err)
	}
	return reply, false, nil
}

// watchOver ends a call to an instance that keeps silent as soon as another one leads.
func (c *Client) watchOver(ctx context.Context, target string, end func()) {
	for ctx.Err() == nil {
		if leader := c.look(ctx); leader != "" && leader != target {
			c.log.Info("call is taken from a leader that was replaced", "from", target, "leader", leader)
			end()
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(doubtPause):
		}
	}
}

// look asks who leads, also while one is believed in, and returns it. One search serves all who wait.
func (c *Client) look(ctx context.Context) string {
	c.mu.Lock()
	finding := c.searchLocked()
	c.mu.Unlock()
	select {
	case <-finding:
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// searchLocked returns the search that is under way, or begins one.
func (c *Client) searchLocked() chan struct{} {
	if c.finding == nil {
		c.finding = make(chan struct{})
		go c.search(c.finding)
	}
	return c.finding
}

// dialFailed reports whether no connection came about, so that nothing was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *Client) noteContact() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.okAt, c.cutOff = time.Now(), false
}

// forget drops the leader that was believed in.
func (c *Client) forget(target string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == target {
		c.leader, c.lostAt = "", time.Now()
		c.log.Warn("leader lost", "leader", target, "error", err)
	}
}

// find returns the leader's address; it searches if none is known. One search serves all who wait.
func (c *Client) find(ctx context.Context) (string, error) {
	c.mu.Lock()
	if c.leader != "" {
		defer c.mu.Unlock()
		return c.leader, nil
	}
	if time.Since(c.missAt) < locatePause {
		c.mu.Unlock()
		return "", errNobody
	}
	finding := c.searchLocked()
	c.mu.Unlock()
	select {
	case <-finding:
	case <-ctx.Done():
		return "", errNobody
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" {
		return "", errNobody
	}
	return c.leader, nil
}

// search asks all known instances, and those that they name, who leads, and believes the first that says so of itself.
func (c *Client) search(finding chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), locateTimeout)
	defer cancel()
	found, answered := c.askAll(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.noteReachLocked(found != "", answered)
	switch {
	case found == "":
		c.missAt = now
	case found != c.leader:
		lost := time.Duration(0)
		if !c.lostAt.IsZero() {
			lost = now.Sub(c.lostAt)
		}
		c.log.Info("leader found", "leader", found, "lost_for", lost)
		c.leader, c.okAt = found, now
	}
	c.finding = nil
	close(finding)
}

// noteReachLocked notes how much of control a search has reached.
func (c *Client) noteReachLocked(found bool, answered int) {
	cut := !found && 2*answered <= max(len(c.members), len(c.seeds))
	if cut != c.cutOff {
		c.log.Warn("reach of control changed", "cut_off", cut, "answered", answered, "members", len(c.members))
	}
	c.cutOff = cut
}

// answer is what one instance said.
type answer struct {
	from  string
	where *Whereabouts // nil if it didn't answer
}

// askAll returns the address of the instance that leads, or "", and how many instances answered.
func (c *Client) askAll(ctx context.Context) (leader string, answered int) {
	answers := make(chan answer)
	asked := make(map[string]bool)
	open := 0
	ask := func(targets ...string) {
		for _, target := range targets {
			if target == "" || asked[target] {
				continue
			}
			asked[target] = true
			open++
			go func() {
				where, err := c.ask(ctx, target)
				if err != nil {
					where = nil
				}
				select {
				case answers <- answer{target, where}:
				case <-ctx.Done():
				}
			}()
		}
	}
	ask(c.known()...)
	for ; open > 0; open-- {
		select {
		case a := <-answers:
			if a.where == nil {
				continue
			}
			answered++
			c.learn(a.where)
			if a.where.Leads {
				return a.from, answered
			}
			ask(a.where.Leader)
			ask(a.where.Members...)
		case <-ctx.Done():
			return "", answered
		}
	}
	return "", answered
}

// known returns every address that may be a control instance's.
func (c *Client) known() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := slices.Concat(c.seeds, c.members)
	slices.Sort(list)
	return slices.Compact(list)
}

func (c *Client) learn(where *Whereabouts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(where.Members) > 0 {
		c.members = where.Members
	}
	if where.Leads {
		c.limits = where.Limits
	}
}

// ask asks one instance who leads.
func (c *Client) ask(ctx context.Context, target string) (*Whereabouts, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target+WherePath, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	where := &Whereabouts{}
	return where, Error.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxReply)).Decode(where))
}

// keepEvery is the time between looks at the leader of a process that has nothing to send; readiness depends on it.
const keepEvery = time.Second

// learnEvery is the longest time between questions to a leader that answers calls: its members and limits may have changed.
const learnEvery = 5 * time.Second

// Keep looks for the leader while none is known and sees to it that the one known still leads, until ctx ends.
func (c *Client) Keep(ctx context.Context) {
	asked := time.Time{}
	for ctx.Err() == nil {
		pause := keepEvery
		if time.Since(c.LastContact()) >= keepEvery || time.Since(asked) >= learnEvery {
			asked = time.Now()
			if !c.check(ctx) {
				pause = locatePause
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// check reports whether the leader answers.
func (c *Client) check(ctx context.Context) bool {
	target, err := c.find(ctx)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	where, err := c.ask(ctx, target)
	if err == nil && !where.Leads {
		err = Error.New("%s no longer leads", target)
	}
	if err != nil {
		c.forget(target, err)
		return false
	}
	c.learn(where)
	c.noteContact()
	return true
}
