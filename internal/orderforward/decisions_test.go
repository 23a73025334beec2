package orderforward

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/uber-go/tally/v4"

	"laburnumrouter/internal/dispatch"
	"laburnumrouter/internal/request/ledger"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// Guards against a reassignment of servers whose forwarder stays, and against forwarders that get far more than their share.
func TestOnlyServersOfLostForwarderAreReassigned(t *testing.T) {
	var slots []uint64
	for i := range 7 {
		slots = append(slots, slotHash(i))
	}
	const lost = 3
	left := append(append([]uint64{}, slots[:lost]...), slots[lost+1:]...)
	share := make([]int, len(slots))
	for i := range 350 {
		server := fmt.Sprintf("i-%08x", i)
		before := assign(server, slots)
		share[before]++
		if before != lost {
			must.Eq(t, slots[before], left[assign(server, left)])
		}
	}
	for _, n := range share {
		must.Between(t, 25, n, 75) // 50 each on average
	}
	must.Eq(t, -1, assign("i-1", nil))

	must.Eq(t, []string{"a", "b"}, fillSlots(nil, 2, []string{"a", "b", "c"}))
	must.Eq(t, []string{"c", "b"}, fillSlots([]string{"a", "b"}, 2, []string{"b", "c"}))
	must.Eq(t, []string{"a", "c"}, fillSlots([]string{"a", "b"}, 2, []string{"a", "c"}))
	must.Eq(t, []string{"b", "a", "c"}, fillSlots([]string{"b"}, 4, []string{"a", "b", "c"}))
	must.Eq(t, []string{"b"}, fillSlots([]string{"a", "b"}, 2, []string{"b"}))
}

func TestAdmission(t *testing.T) {
	const (
		start = laburnumv1.OrderKind_ORDER_KIND_START
		stop  = laburnumv1.OrderKind_ORDER_KIND_STOP
		hold  = laburnumv1.OrderKind_ORDER_KIND_HOLD
		pace  = laburnumv1.OrderKind_ORDER_KIND_PACE
		ms    = time.Millisecond
	)
	for _, c := range []struct {
		name            string
		kind            laburnumv1.OrderKind
		budget          time.Duration
		echo, now       time.Duration
		term, knownTerm uint64
		left            time.Duration
		want            laburnumv1.OrderRejection
	}{
		{name: "fresh start", kind: start, budget: 400 * ms, echo: time.Second, now: 1050 * ms, term: 2, knownTerm: 2, left: 350 * ms},
		{name: "the leader's term is newer", kind: start, budget: 400 * ms, echo: time.Second, now: 1050 * ms, term: 3, knownTerm: 2, left: 350 * ms},
		{name: "older term", kind: hold, budget: time.Second, echo: time.Second, now: 1050 * ms, term: 1, knownTerm: 2, want: laburnumv1.OrderRejection_ORDER_REJECTION_OLD_TERM},
		{name: "budget used up on the way", kind: start, budget: 100 * ms, echo: time.Second, now: 1100 * ms, term: 2, knownTerm: 2, want: laburnumv1.OrderRejection_ORDER_REJECTION_EXPIRED},
		{name: "start on an old round trip", kind: start, budget: time.Hour, echo: time.Second, now: 1401 * ms, term: 2, knownTerm: 2, want: laburnumv1.OrderRejection_ORDER_REJECTION_EXPIRED},
		{name: "stop on an old round trip", kind: stop, budget: time.Hour, echo: time.Second, now: 1401 * ms, term: 2, knownTerm: 2, want: laburnumv1.OrderRejection_ORDER_REJECTION_EXPIRED},
		{name: "pace on an old round trip", kind: pace, budget: time.Hour, echo: time.Second, now: 1401 * ms, term: 2, knownTerm: 2, want: laburnumv1.OrderRejection_ORDER_REJECTION_EXPIRED},
		{name: "hold on an old round trip", kind: hold, budget: 1400 * ms, echo: time.Second, now: 1500 * ms, term: 2, knownTerm: 2, left: 900 * ms},
		{name: "hold after the caller's bound", kind: hold, budget: 1400 * ms, echo: time.Second, now: 2400 * ms, term: 2, knownTerm: 2, want: laburnumv1.OrderRejection_ORDER_REJECTION_EXPIRED},
		{name: "no round trip", kind: start, budget: 400 * ms, now: 50 * ms, term: 2, knownTerm: 2, want: laburnumv1.OrderRejection_ORDER_REJECTION_EXPIRED},
		{name: "mark of another clock", kind: start, budget: 400 * ms, echo: 2 * time.Second, now: time.Second, term: 2, knownTerm: 2, want: laburnumv1.OrderRejection_ORDER_REJECTION_EXPIRED},
	} {
		t.Run(c.name, func(t *testing.T) {
			left, reason := admission{kind: c.kind, budget: c.budget, echo: c.echo, now: c.now, term: c.term, knownTerm: c.knownTerm}.admit()
			must.Eq(t, c.want, reason)
			must.Eq(t, c.left, left)
		})
	}
}

// Guards against forwarding in small deployments, and against streams that open and close with every lull.
func TestForwardersFollowCallRate(t *testing.T) {
	var g gate
	var total uint64
	now := time.Second
	for _, step := range []struct {
		perSecond int
		seconds   time.Duration
		want      int
	}{{180, 10, 0}, {400, 1, 2}, {0, 3, 2}, {120, 10, 2}, {60, 7, 0}, {3000, 2, 2}, {6000, 2, 4}, {3100, 10, 4}, {1000, 7, 2}, {0, 7, 0}} {
		got := 0
		for end := now + step.seconds*time.Second; now < end; now += 50 * time.Millisecond {
			total += uint64(step.perSecond) / 20
			got = g.update(total, now)
		}
		must.Eq(t, step.want, got, must.Sprintf("at %d calls per second", step.perSecond))
	}
}

// Guards against a report that loses or mixes up runs: the leader takes a run that isn't listed for lost.
func TestHoldReportSurvivesEncoding(t *testing.T) {
	id := func(job string, i int) ledger.TaskID {
		return ledger.TaskID{Job: job, Occurrence: 1, Step: 2, Index: i}
	}
	report := &dispatch.HoldReport{
		ClockMS: 77, Born: 1234567,
		Running: []dispatch.RunningTask{
			{Task: id("a", 0), Run: 1, Checkpoint: "c1", Percent: 100, Figure: -3}, {Task: id("a", 1), Run: 2, Percent: 50, Figure: 9},
		},
		Finished: []dispatch.FinishedTask{
			{Number: 9, Task: id("b", 3), Run: 4, How: ledger.EndDone, Checkpoint: "c1"}, {Number: 10, Task: id("a", 7), Run: 1, How: "unheard-of"},
		},
	}
	encoded := encodeHold(report)
	got, err := decodeHold(&laburnumv1.OrderResult{ClockMs: 77, Hold: encoded})
	must.NoError(t, err)
	must.Eq(t, report, got)
	encoded.Running[0] = 99
	_, err = decodeHold(&laburnumv1.OrderResult{Hold: encoded})
	must.Error(t, err)
	encoded.Running = encoded.Running[:3]
	_, err = decodeHold(&laburnumv1.OrderResult{Hold: encoded})
	must.Error(t, err)
	_, err = decodeHold(&laburnumv1.OrderResult{})
	must.Error(t, err)
	empty, err := decodeHold(&laburnumv1.OrderResult{Hold: encodeHold(&dispatch.HoldReport{Born: 1})})
	must.NoError(t, err)
	must.Eq(t, &dispatch.HoldReport{Born: 1}, empty)
}

// Guards against a leader short of processor time that takes its forwarders for silent, gives up the calls on them and makes all of
// them itself, which costs it more. A forwarder that alone is silent gets no calls.
func TestForwardersSilentAtOnceStayInUse(t *testing.T) {
	const now = time.Hour
	for _, c := range []struct {
		name  string
		heard [2]time.Duration // ago
		inUse int
	}{
		{"none", [2]time.Duration{0, 0}, 2},
		{"one", [2]time.Duration{suspectAfter + 1, 0}, 1},
		{"all", [2]time.Duration{suspectAfter + 1, suspectAfter + 1}, 2},
		{"all for long", [2]time.Duration{silentAfter + 1, silentAfter + 1}, 0},
	} {
		client := NewClient(Options{Log: hclog.NewNullLogger(), Scope: tally.NoopScope})
		hold := &pendingCall{message: &laburnumv1.OrderCall{Kind: laburnumv1.OrderKind_ORDER_KIND_HOLD}, sent: true, done: make(chan struct{}, 1)}
		for i, ago := range c.heard {
			l := &link{name: string(rune('a' + i)), cancel: func() {}, inUse: true, pending: map[uint64]*pendingCall{}, wake: make(chan struct{}, 1)}
			l.mark.Store(1)
			l.heardAt.Store(int64(now - ago))
			l.sentAt.Store(int64(now))
			client.slots, client.links[l.name] = append(client.slots, l.name), l
		}
		client.links["a"].pending[1] = hold
		client.updateTable(1, now, false)
		must.EqOp(t, c.inUse, len(client.table.Load().links), must.Sprint(c.name))
		must.EqOp(t, c.inUse < 2, len(hold.done) == 1, must.Sprint(c.name))
	}
}

// Guards against a start that goes to a silent forwarder, and stays unanswered, after a hold on it was given up.
func TestSilentForwarderGetsNoCallsOnceHoldsAreGivenUp(t *testing.T) {
	const now = time.Hour
	client := NewClient(Options{Log: hclog.NewNullLogger(), Scope: tally.NoopScope})
	l := &link{name: "a", cancel: func() {}, inUse: true, pending: map[uint64]*pendingCall{}, wake: make(chan struct{}, 1)}
	l.mark.Store(1)
	l.heardAt.Store(int64(now - suspectAfter - 1))
	l.sentAt.Store(int64(now))
	client.slots, client.links[l.name] = []string{l.name}, l
	client.table.Store(&table{term: 1, links: []*link{l}, hashes: []uint64{slotHash(0)}})
	given := make(chan struct{}) // unbuffered: the update waits while the first caller goes on
	for number := range uint64(2) {
		l.pending[number] = &pendingCall{message: &laburnumv1.OrderCall{Kind: laburnumv1.OrderKind_ORDER_KIND_HOLD}, sent: true, done: given}
	}
	ended := make(chan struct{})
	go func() { defer close(ended); client.updateTable(1, now, false) }()
	<-given
	got := client.route("i-1", 1)
	<-given
	<-ended
	must.Nil(t, got)
}
