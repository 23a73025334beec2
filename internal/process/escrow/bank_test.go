package escrow

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// TestMain sets a fixed seed and the number and length of the random schedules unless the command line sets them.
func TestMain(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.checks": "4000", "rapid.steps": "60"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

const second = time.Second

func at(seconds int) time.Time { return time.Unix(int64(10_000+seconds), 0) }

func newBank(takeover bool, slice uint32) *Bank {
	b := NewBank("bank.1", Timing{Fence: 2 * second, MaxRun: 4 * second}, takeover, at(0))
	b.SetSlice(at(0), testWorkspace, slice, 1, 100)
	return b
}

// exchange runs one request and response without loss or delay.
func exchange(b *Bank, a *Account, now time.Time) {
	a.SetHolder(b.id)
	req := a.Request(now)
	if b.Borrow(now, req) {
		a.Apply(req, &laburnumv1.BorrowResponse{Sequence: req.Sequence, Void: true})
		return
	}
	a.Apply(req, b.Answer(req.Borrower, req.Sequence))
}

func acquireAll(a *Account) (n int) {
	for a.TryAcquire(testWorkspace) {
		n++
	}
	return n
}

func TestRequestSentBeforeBorrowerRemovalIsVoid(t *testing.T) {
	b := newBank(false, 10)
	a := NewAccount("e1.1", func() {})
	a.SetHolder(b.id)
	first := a.Request(at(0))
	must.False(t, b.Borrow(at(0), first))
	a.Apply(first, b.Answer("e1.1", first.Sequence))
	must.Eq(t, 10, a.Held(testWorkspace))
	b.Tick(at(5), noAnnouncements{})
	must.True(t, b.Borrow(at(5), first)) // duplicated by the network
	must.Eq(t, 0, len(b.borrowers))
}

func TestFencedBorrowerClaimsOnlyPermitsInUse(t *testing.T) {
	old := newBank(false, 10)
	a := NewAccount("e1.1", func() {})
	exchange(old, a, at(0))
	must.True(t, a.TryAcquire(testWorkspace))
	a.SetFenced(true)
	must.False(t, a.TryAcquire(testWorkspace))
	next := NewBank("bank.2", old.timing, true, at(3))
	next.SetSlice(at(3), testWorkspace, 10, 1, 100)
	a.SetHolder(next.id)
	must.Eq(t, 1, int(a.Request(at(3)).Lines[0].Held))
}

// TestBorrowerClaimsFormerLoansOnce guards against a fault found by the model in spec/: a borrower that was removed and
// registered again claimed the permits of the same requests twice, at the cost of another borrower's claim.
func TestBorrowerClaimsFormerLoansOnce(t *testing.T) {
	old := newBank(false, 10)
	a := NewAccount("e1.1", func() {})
	exchange(old, a, at(0))
	must.Eq(t, 10, acquireAll(a))
	next := NewBank("bank.2", old.timing, true, at(1))
	next.SetSlice(at(1), testWorkspace, 20, 1, 100)
	a.SetHolder(next.id)
	must.False(t, next.Borrow(at(1), a.Request(at(1)))) // the response is lost
	next.Tick(at(6), noAnnouncements{})                 // the borrower is removed
	must.True(t, next.Borrow(at(6), a.Request(at(5))))  // sent before the removal, claims the same permits
	granted, lost := next.Borrowed(testWorkspace)
	must.Eq(t, 0, granted)
	must.Eq(t, 20, lost)
}

func TestLostBorrower(t *testing.T) {
	lose := func() (*Bank, *Account) {
		b := newBank(false, 10)
		a := NewAccount("e1.1", func() {})
		exchange(b, a, at(0))
		must.Eq(t, 10, acquireAll(a))
		again := NewAccount("e1.2", func() {})
		exchange(b, again, at(1))
		must.Eq(t, 0, acquireAll(again))
		return b, again
	}
	t.Run("its permits are held back for the fence time and the longest run time", func(t *testing.T) {
		b, again := lose()
		b.Tick(at(6), noAnnouncements{})
		exchange(b, again, at(6))
		must.Eq(t, 0, acquireAll(again))
		b.Tick(at(7), noAnnouncements{})
		exchange(b, again, at(7))
		must.Eq(t, 10, acquireAll(again))
	})
	t.Run("announcements free permits without a running request", func(t *testing.T) {
		b, again := lose()
		b.Tick(at(2), announcements{running: 3, complete: false})
		exchange(b, again, at(2))
		must.Eq(t, 0, acquireAll(again))
		b.Tick(at(3), announcements{running: 3, complete: true})
		exchange(b, again, at(3))
		must.Eq(t, 7, acquireAll(again))
	})
	t.Run("an earlier incarnation cannot register again", func(t *testing.T) {
		b, _ := lose()
		a := NewAccount("e1.1", func() {})
		exchange(b, a, at(2))
		must.Eq(t, 0, a.Held(testWorkspace))
		must.MapNotContainsKey(t, b.borrowers, "e1.1")
	})
}

type announcements struct {
	running  int
	complete bool
}

func (a announcements) RunningOf(string, string, time.Time) (int, bool) { return a.running, a.complete }

func (a announcements) RunningOfEndedProcesses(string, time.Time) (int, bool) {
	return a.running, a.complete
}

func (a announcements) AllRegistered(borrowers []string) bool {
	return slices.Contains(borrowers, "e1.2")
}

// TestRestartedDataCentreReusesSliceOnAnnouncements restarts holder and borrower at the same time: nobody claims the
// permits that the former holder lent, and only announcements can show that they are free.
func TestRestartedDataCentreReusesSliceOnAnnouncements(t *testing.T) {
	cases := []struct {
		name     string
		work     announcements
		borrower string
		want     int
	}{
		{"announcements show that nothing runs", announcements{0, true}, "e1.2", 10},
		{"some requests still run", announcements{4, true}, "e1.2", 6},
		{"an instance has not announced itself", announcements{0, false}, "e1.2", 0},
		{"an entry has not registered", announcements{0, true}, "e2.1", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBank(true, 10)
			a := NewAccount(c.borrower, func() {})
			exchange(b, a, at(0))
			a.TryAcquire(testWorkspace)
			exchange(b, a, at(1))
			b.Tick(at(1), c.work)
			b.Tick(at(3), c.work)
			exchange(b, a, at(3))
			must.Eq(t, c.want, acquireAll(a))
		})
	}
}

func TestStoppedBorrowerReturnsIdlePermitsAtOnce(t *testing.T) {
	b := newBank(false, 10)
	a, other := NewAccount("e1.1", func() {}), NewAccount("e2.1", func() {})
	exchange(b, a, at(0))
	must.Eq(t, 10, acquireAll(a))
	for range 10 {
		a.Release(testWorkspace)
	}
	must.False(t, b.Borrow(at(1), a.Closing(at(1))))
	exchange(b, other, at(1))
	must.Eq(t, 10, acquireAll(other))
}

func TestPermitsInUseOfStoppedBorrowerAreHeldBack(t *testing.T) {
	b := newBank(false, 10)
	a, other := NewAccount("e1.1", func() {}), NewAccount("e2.1", func() {})
	exchange(b, a, at(0))
	for range 4 {
		must.True(t, a.TryAcquire(testWorkspace)) // for a request that is forwarded to another entry and goes on there
	}
	must.False(t, b.Borrow(at(1), a.Closing(at(1))))
	exchange(b, other, at(1))
	must.Eq(t, 6, acquireAll(other))
}

func TestRefusalWithoutDemandRaisesNoNeed(t *testing.T) {
	b := newBank(false, 0)
	a := NewAccount("e1.1", func() {})
	exchange(b, a, at(0))
	must.False(t, a.TryAcquireWithoutDemand(testWorkspace))
	must.Eq(t, 0, int(a.Request(at(1)).Lines[0].Need))
	must.False(t, a.TryAcquire(testWorkspace))
	must.Eq(t, 1, int(a.Request(at(1)).Lines[0].Need))
}

func TestLoweredLimitTakesEffectAsRequestsEnd(t *testing.T) {
	b := newBank(false, 10)
	a := NewAccount("e1.1", func() {})
	exchange(b, a, at(0))
	for range 8 {
		must.True(t, a.TryAcquire(testWorkspace))
	}
	b.SetSlice(at(1), testWorkspace, 10, 1, 5) // the sheet lowers the limit to 5
	exchange(b, a, at(1))
	exchange(b, a, at(1))
	must.False(t, a.TryAcquire(testWorkspace))
	must.Eq(t, 8, int(b.Lines(true)[0].Held)) // not in force while 8 requests run
	for range 4 {
		a.Release(testWorkspace)
	}
	exchange(b, a, at(2))
	must.Eq(t, 5, int(b.Lines(true)[0].Held))
	must.True(t, a.TryAcquire(testWorkspace))
	must.False(t, a.TryAcquire(testWorkspace))
}

func TestSinglePermitRotatesAmongBorrowers(t *testing.T) {
	b := newBank(false, 1)
	accounts := []*Account{NewAccount("e1.1", func() {}), NewAccount("e2.1", func() {}), NewAccount("e3.1", func() {})}
	got := make([]int, len(accounts))
	for s := range 30 {
		b.Tick(at(s), noAnnouncements{})
		for range 8 {
			for i, a := range accounts {
				exchange(b, a, at(s))
				if a.TryAcquire(testWorkspace) {
					got[i]++
					a.Release(testWorkspace)
				}
			}
		}
	}
	for _, n := range got {
		must.Greater(t, 5, n)
	}
}

func TestBalance(t *testing.T) {
	cases := []struct {
		name   string
		total  int
		claims []Claim
		want   []int
	}{
		{"unheld permits are spread evenly", 10, []Claim{{}, {}, {}}, []int{4, 3, 3}},
		{"a claimant with all the demand gets nearly all", 100, []Claim{{50, 200}, {50, 0}}, []int{98, 2}},
		{"surplus stays while nobody is short", 100, []Claim{{60, 10}, {40, 20}}, []int{60, 40}},
		{"an idle claimant is refilled", 100, []Claim{{98, 10}, {2, 0}}, []int{54, 46}},
		{"needs above the total are split fairly", 12, []Claim{{12, 30}, {0, 30}, {0, 2}}, []int{5, 5, 2}},
		{"claimants near their fair shares keep what they hold", 100, []Claim{{52, 200}, {48, 200}}, []int{52, 48}},
		{"nothing to hand out", 0, []Claim{{0, 3}}, []int{0}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { must.Eq(t, c.want, Balance(c.total, c.claims, at(0))) })
	}
}
