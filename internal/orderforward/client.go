package orderforward

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"laburnumrouter/internal/dispatch"
	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/request/incarnation"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
	"laburnumrouter/proto/laburnum/v1/laburnumv1connect"
)

const (
	// checkInterval is the time between checks of members and links.
	checkInterval = 50 * time.Millisecond
	// lateCheck is the time between two checks from which this process, and not the other side, may be the cause of silence.
	lateCheck = 2 * checkInterval
	// directReserve is the part of the caller's time that a forwarded stop or hold leaves, so that it can be repeated
	// directly if the forwarder has no answer.
	directReserve = 150 * time.Millisecond
	// bypassTime is how long a server is called directly after a forwarder got no answer from it.
	bypassTime = 5 * time.Second
	// drainTime is how long a link that is no longer wanted may wait for results. It is longer than a hold call.
	drainTime = 2 * time.Second
	// reopenDelay and maxReopenDelay bound the time after which a failed link is opened again. It doubles while opening
	// fails, as it does if the member is of an older version.
	reopenDelay    = time.Second
	maxReopenDelay = 30 * time.Second
)

// Member is a control instance that may be used as a forwarder.
type Member struct{ Name, Address string }

// Status tells a client whether its instance leads, in which term, and which other members are active.
type Status struct {
	Leads  bool
	Term   uint64
	Active []Member
}

// Options configures a Client.
type Options struct {
	// Direct sends calls that are not forwarded.
	Direct dispatch.Servers
	// Status returns the current status of the replica. It must not block.
	Status func() Status
	// MayOrder reports whether this instance holds the leader lease. It must not block.
	MayOrder func() bool
	// Dial returns a client of the service at an address, with a connection of its own.
	Dial  func(address string) laburnumv1connect.OrderServiceClient
	Log   hclog.Logger
	Scope tally.Scope
}

// Client sends calls to backend servers through forwarders. It implements dispatch.Servers and is safe for concurrent use.
type Client struct {
	Options
	stats *stats
	calls atomic.Uint64
	table atomic.Pointer[table]
	// bypassed counts the elements of bypass, so that a call takes no lock while there are none.
	bypassed atomic.Int64
	bypassMu sync.Mutex
	bypass   map[string]time.Duration // by server: boottime until which it is called directly

	// Used by Run only.
	checkedAt time.Duration
	gate      gate
	slots     []string         // members in use
	links     map[string]*link // by member
	retries   map[string]retry
	draining  map[*link]time.Duration // boottime at which each is closed
}

type retry struct {
	at, delay time.Duration
}

// table is the set of links in use. It is not changed after it is stored.
type table struct {
	term   uint64
	links  []*link
	hashes []uint64
}

// NewClient returns a client that sends all calls directly until Run has opened links.
func NewClient(o Options) *Client {
	return &Client{
		Options: o, stats: newStats(o.Scope), bypass: make(map[string]time.Duration), links: make(map[string]*link),
		retries: make(map[string]retry), draining: make(map[*link]time.Duration),
	}
}

// Run opens, checks and closes links until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			for name := range c.links {
				c.retire(name, "the process stops")
			}
			c.table.Store(nil)
			for l := range c.draining {
				l.fail("the process stops")
			}
			return nil
		case <-ticker.C:
			c.check(boottime.Now())
		}
	}
}

// check brings the links up to date with the members, the load and the state of the streams.
func (c *Client) check(now time.Duration) {
	status := c.Status()
	members := c.fill(&status, now)
	for name, l := range c.links {
		m, wanted := members[name]
		switch {
		case !wanted:
			c.retire(name, retireReason(&status, name))
		case l.term != status.Term || l.address != m.Address:
			c.retire(name, "the term or the member's address has changed")
		}
	}
	for name, m := range members {
		if c.links[name] == nil {
			c.links[name] = openLink(m, status.Term, c.Dial(m.Address), c.stats, c.MayOrder)
		}
	}
	late := now-c.checkedAt > lateCheck
	c.checkedAt = now
	c.updateTable(status.Term, now, late)
	for l, until := range c.draining {
		if failed, pending := l.failure(); failed != "" || pending == 0 || now >= until {
			l.fail("out of use")
			delete(c.draining, l)
		} else {
			l.check(now, late, false)
		}
	}
	c.expireBypasses(now)
}

// retireReason returns why a member whose link has not failed isn't used any more.
func retireReason(status *Status, name string) string {
	switch {
	case !status.Leads:
		return "this instance does not lead"
	case !slices.ContainsFunc(status.Active, func(m Member) bool { return m.Name == name }):
		return "the member is not active"
	}
	return "the load needs fewer forwarders"
}

// fill fills the slots and returns the members in them.
func (c *Client) fill(status *Status, now time.Duration) map[string]Member {
	n := c.gate.update(c.calls.Load(), now)
	if !status.Leads {
		clear(c.retries)
		c.slots = nil
		return nil
	}
	members := make(map[string]Member)
	var candidates []string
	for _, m := range status.Active {
		if now >= c.retries[m.Name].at {
			members[m.Name] = m
			candidates = append(candidates, m.Name)
		}
	}
	slices.Sort(candidates)
	c.slots = fillSlots(c.slots, n, candidates)
	for name := range members {
		if !slices.Contains(c.slots, name) {
			delete(members, name)
		}
	}
	return members
}

// retire takes a link out of use. It is closed once its calls have results.
func (c *Client) retire(name, reason string) {
	l := c.links[name]
	delete(c.links, name)
	c.draining[l] = boottime.Now() + drainTime
	if l.inUse {
		c.Log.Info("forwarder out of use", "forwarder", name, "term", l.term, "reason", reason)
	}
}

// updateTable replaces links that have failed and stores the table of those that may get calls. Calls are given up after that, so that
// a caller whose call was given up makes no other on the same link.
func (c *Client) updateTable(term uint64, now time.Duration, late bool) {
	next := &table{term: term}
	var silent []*link
	allSilent := c.allSilent(now)
	for slot, name := range c.slots {
		l := c.links[name]
		usable := l.check(now, late, allSilent)
		if failed, _ := l.failure(); failed != "" {
			c.linkFailed(name, l, failed, now)
			continue
		}
		if usable != l.inUse {
			l.inUse = usable
			if usable {
				delete(c.retries, name)
				c.Log.Info("forwarder in use", "forwarder", name, "address", l.address, "term", term)
			} else if l.stopping.Load() {
				c.Log.Info("forwarder out of use", "forwarder", name, "term", term, "reason", "it stops")
			} else {
				silent = append(silent, l)
				c.Log.Info("forwarder out of use", "forwarder", name, "term", term, "reason", "not heard for a while")
			}
		}
		if usable {
			next.links = append(next.links, l)
			next.hashes = append(next.hashes, slotHash(slot))
		}
	}
	if before := c.table.Load(); before == nil || before.term != next.term || !slices.Equal(before.links, next.links) ||
		!slices.Equal(before.hashes, next.hashes) {
		c.table.Store(next)
	}
	for _, l := range silent {
		l.giveUpIdempotent()
	}
}

// allSilent reports whether several links are in use and all of them have become silent: then this process is more likely to be
// slow than all forwarders at once, and direct calls, which cost it more, would make it slower.
func (c *Client) allSilent(now time.Duration) bool {
	silent := 0
	for _, l := range c.links {
		switch {
		case !l.inUse:
		case l.silence(now) <= suspectAfter:
			return false
		default:
			silent++
		}
	}
	return silent > 1
}

func (c *Client) linkFailed(name string, l *link, reason string, now time.Duration) {
	delete(c.links, name)
	delay := cmp.Or(min(2*c.retries[name].delay, maxReopenDelay), reopenDelay)
	c.retries[name] = retry{at: now + delay, delay: delay}
	if l.inUse {
		c.Log.Info("forwarder out of use", "forwarder", name, "term", l.term, "reason", reason)
	} else {
		c.Log.Debug("forwarder not usable", "forwarder", name, "reason", reason, "retry_in", delay)
	}
}

// route returns the link for a call of the leader of a term, or nil if it is to be sent directly.
func (c *Client) route(server string, term uint64) *link {
	c.calls.Add(1)
	t := c.table.Load()
	if t == nil || t.term != term || len(t.links) == 0 {
		return nil
	}
	if c.bypassed.Load() > 0 {
		c.bypassMu.Lock()
		_, direct := c.bypass[server]
		c.bypassMu.Unlock()
		if direct {
			return nil
		}
	}
	return t.links[assign(server, t.hashes)]
}

// bypassForwarders makes calls to a server direct for a while.
func (c *Client) bypassForwarders(server string) {
	c.bypassMu.Lock()
	defer c.bypassMu.Unlock()
	c.bypass[server] = boottime.Now() + bypassTime
	c.bypassed.Store(int64(len(c.bypass)))
}

func (c *Client) expireBypasses(now time.Duration) {
	c.bypassMu.Lock()
	defer c.bypassMu.Unlock()
	for server, until := range c.bypass {
		if now >= until {
			delete(c.bypass, server)
		}
	}
	c.bypassed.Store(int64(len(c.bypass)))
}

// forward sends a call through l. Statuses other than an answer are turned into errors; notSent means that no order was
// sent. reserve is the part of the caller's time that is left for a direct call.
func (c *Client) forward(ctx context.Context, l *link, to dispatch.Target, call *laburnumv1.OrderCall, spec string, reserve time.Duration) (*laburnumv1.OrderResult, disposition, error) {
	how, result := l.do(ctx, call, spec, reserve)
	switch how {
	case notSent:
		rejection := laburnumv1.OrderRejection_ORDER_REJECTION_UNSPECIFIED
		if result != nil {
			rejection = result.Rejection
		}
		switch rejection {
		case laburnumv1.OrderRejection_ORDER_REJECTION_NO_SPEC:
			l.inline.Store(int64(boottime.Now() + inlineSpecsFor))
		case laburnumv1.OrderRejection_ORDER_REJECTION_UNREACHABLE:
			c.bypassForwarders(to.ID)
		}
		c.stats.failed(l.name, rejectionNames[rejection])
		return nil, notSent, Error.New("order not sent: %s", rejectionNames[rejection])
	case unanswered:
		err := ctx.Err()
		if errors.Is(err, context.Canceled) {
			return nil, unanswered, Error.Wrap(err) // the caller has ended the call
		}
		c.stats.failed(l.name, "no result")
		if err != nil {
			c.bypassForwarders(to.ID)
			return nil, unanswered, Error.Wrap(err)
		}
		return nil, unanswered, Error.New("the forwarder %s gave no result", l.name)
	}
	switch result.Status {
	case laburnumv1.OrderStatus_ORDER_STATUS_ANSWERED:
		c.stats.forwarded.Inc(1)
		return result, answered, nil
	case laburnumv1.OrderStatus_ORDER_STATUS_MISDIRECTED:
		c.stats.forwarded.Inc(1)
		return result, answered, dispatch.ErrMisdirected
	case laburnumv1.OrderStatus_ORDER_STATUS_FENCED:
		c.stats.forwarded.Inc(1)
		return result, answered, dispatch.ErrFenced
	}
	c.stats.failed(l.name, "no answer")
	c.bypassForwarders(to.ID)
	return nil, unanswered, Error.New("no answer through the forwarder %s: %s", l.name, result.Error)
}

// mayCallDirectly reports whether a call that a forwarder didn't carry out may now be sent directly. The leader lease was
// last checked before the call was queued.
func (c *Client) mayCallDirectly(ctx context.Context) bool { return ctx.Err() == nil && c.MayOrder() }

// Start implements dispatch.Servers. A start whose result is missing is not repeated: both might be executed.
func (c *Client) Start(ctx context.Context, to dispatch.Target, o dispatch.StartOrder) (dispatch.StartAnswer, int64, error) {
	if l := c.route(to.ID, incarnation.Term(o.Fence)); l != nil {
		call := newCall(laburnumv1.OrderKind_ORDER_KIND_START, to, o.Fence)
		setTask(call, o.Task, o.Run)
		call.SpecSum, call.Checkpoint, call.DeadlineMs = specSum(o.Spec), o.Checkpoint, o.DeadlineMS
		spec := ""
		if until := l.inline.Load(); until != 0 && int64(boottime.Now()) < until {
			spec = o.Spec
		}
		result, how, err := c.forward(ctx, l, to, call, spec, 0)
		switch {
		case how == answered && err != nil:
			return 0, 0, err
		case how == answered:
			answer := dispatch.StartAnswer(result.Answer)
			if answer < dispatch.StartAccepted || answer > dispatch.StartTicket {
				// Of another version. It isn't known whether it means that nothing was started.
				return 0, 0, Error.New("unknown answer %d to a start", answer)
			}
			return answer, result.ClockMs, nil
		case how == unanswered || !c.mayCallDirectly(ctx):
			return 0, 0, err
		}
	}
	c.stats.direct.Inc(1)
	return c.Direct.Start(ctx, to, o)
}

// Pace implements dispatch.Servers. A pace order whose result is missing is not repeated: it might overtake a later one.
func (c *Client) Pace(ctx context.Context, to dispatch.Target, o dispatch.PaceOrder) error {
	if l := c.route(to.ID, incarnation.Term(o.Fence)); l != nil {
		call := newCall(laburnumv1.OrderKind_ORDER_KIND_PACE, to, o.Fence)
		setTask(call, o.Task, o.Run)
		call.Percent = int32(o.Percent)
		_, how, err := c.forward(ctx, l, to, call, "", 0)
		if how != notSent || !c.mayCallDirectly(ctx) {
			return err
		}
	}
	c.stats.direct.Inc(1)
	return c.Direct.Pace(ctx, to, o)
}

// Stop implements dispatch.Servers. Without a result, the stop is repeated directly.
func (c *Client) Stop(ctx context.Context, to dispatch.Target, o dispatch.StopOrder) error {
	if l := c.route(to.ID, incarnation.Term(o.Fence)); l != nil {
		call := newCall(laburnumv1.OrderKind_ORDER_KIND_STOP, to, o.Fence)
		setTask(call, o.Task, o.Run)
		_, how, err := c.forward(ctx, l, to, call, "", directReserve)
		if how == answered || !c.mayCallDirectly(ctx) {
			return err
		}
	}
	c.stats.direct.Inc(1)
	return c.Direct.Stop(ctx, to, o)
}

// Hold implements dispatch.Servers. Without a result, the hold is repeated directly, and waits for ends only as long as the
// caller's time allows.
func (c *Client) Hold(ctx context.Context, to dispatch.Target, o dispatch.HoldOrder) (*dispatch.HoldReport, error) {
	if l := c.route(to.ID, incarnation.Term(o.Fence)); l != nil {
		call := newCall(laburnumv1.OrderKind_ORDER_KIND_HOLD, to, o.Fence)
		call.DeadlineMs, call.AckedEnd, call.WaitMs = o.DeadlineMS, o.AckedEnd, o.WaitMS
		result, how, err := c.forward(ctx, l, to, call, "", directReserve)
		if how == answered && err == nil {
			return decodeHold(result)
		}
		if how == answered || !c.mayCallDirectly(ctx) {
			return nil, err
		}
		if deadline, ok := ctx.Deadline(); ok {
			o.WaitMS = max(0, min(o.WaitMS, (time.Until(deadline)-maxRoundTrip).Milliseconds()))
		}
	}
	c.stats.direct.Inc(1)
	return c.Direct.Hold(ctx, to, o)
}
