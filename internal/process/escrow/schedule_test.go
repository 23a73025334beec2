package escrow

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	testWorkspace = "soap"
	testMaxRun    = 4 * time.Second
	testFence     = 2 * time.Second
	testLimit     = 6
	testStep      = 500 * time.Millisecond
	maxInFlight   = 12
)

// work is a request that runs at a backend server, even after its entry has ended.
type work struct {
	owner int // entry number, -1 after a restart of the entry
	until time.Time
}

// message is a request or response in flight: it may be lost, repeated, delayed and reordered.
type message struct {
	req  *laburnumv1.BorrowRequest
	resp *laburnumv1.BorrowResponse
	sent time.Time // when the request was sent
}

// dataCentre simulates a data centre whose holder changes, on a virtual clock. A replaced holder may lend until it is
// fenced.
type dataCentre struct {
	t                *rapid.T
	now              time.Time
	slice            uint32 // assigned by the control log
	sliceIncarnation uint64
	sheetLimit       uint32
	bank             *Bank
	bankCount        uint64
	replacedBank     *Bank     // a holder that was replaced and has not noticed
	replacedFencedAt time.Time // when replacedBank fences itself
	entries          []*Account
	incarnations     []uint64
	heard            []time.Time // when each entry sent its last request that was answered
	inFlight         []message
	running          []work
}

type noAnnouncements struct{}

func (noAnnouncements) RunningOf(string, string, time.Time) (int, bool) { return 0, false }

func (noAnnouncements) RunningOfEndedProcesses(string, time.Time) (int, bool) { return 0, false }

func (noAnnouncements) AllRegistered([]string) bool { return false }

func newDataCentre(t *rapid.T, entries int) *dataCentre {
	f := &dataCentre{t: t, now: time.Unix(1000, 0), slice: testLimit, sliceIncarnation: 1, sheetLimit: testLimit}
	f.entries = make([]*Account, entries)
	f.incarnations = make([]uint64, entries)
	f.heard = make([]time.Time, entries)
	f.replaceHolder(false)
	for i := range entries {
		f.restart(i)
	}
	return f
}

func (f *dataCentre) replaceHolder(takeover bool) {
	f.replacedBank, f.replacedFencedAt = f.bank, f.now.Add(testFence)
	f.bankCount++
	f.bank = NewBank(HolderID("bank", f.bankCount), Timing{Fence: testFence, MaxRun: testMaxRun}, takeover, f.now)
	f.bank.SetSlice(f.now, testWorkspace, f.slice, f.sliceIncarnation, f.sheetLimit)
}

// restart replaces an entry by a new incarnation without state; its requests go on at the backend servers.
func (f *dataCentre) restart(i int) {
	f.incarnations[i]++
	f.entries[i] = NewAccount(HolderID(fmt.Sprintf("e%d", i), f.incarnations[i]), func() {})
	f.entries[i].SetHolder(f.bank.id)
	f.heard[i] = f.now
	for j := range f.running {
		if f.running[j].owner == i {
			f.running[j].owner = -1
		}
	}
}

func (f *dataCentre) updateFenced(i int) { f.entries[i].SetFenced(f.now.Sub(f.heard[i]) >= testFence) }

func (f *dataCentre) send(i int) {
	f.updateFenced(i)
	req := f.entries[i].Request(f.now)
	if len(f.inFlight) < maxInFlight {
		f.inFlight = append(f.inFlight, message{req: req, sent: f.now})
	}
}

// deliver delivers a message in flight and removes it unless it is to be repeated.
func (f *dataCentre) deliver(at int, repeat bool) {
	m := f.inFlight[at]
	if !repeat {
		f.inFlight = append(f.inFlight[:at], f.inFlight[at+1:]...)
	}
	req := proto.Clone(m.req).(*laburnumv1.BorrowRequest)
	if m.resp != nil {
		f.answer(req, m.resp, m.sent)
		return
	}
	if resp := f.borrow(req); resp != nil && len(f.inFlight) < maxInFlight {
		f.inFlight = append(f.inFlight, message{req: req, resp: resp, sent: m.sent})
	}
}

func (f *dataCentre) borrow(req *laburnumv1.BorrowRequest) *laburnumv1.BorrowResponse {
	bank := f.bank
	if req.Holder != bank.id {
		if f.replacedBank == nil || f.replacedBank.id != req.Holder || !f.now.Before(f.replacedFencedAt) {
			return nil
		}
		bank = f.replacedBank
	}
	if bank.Borrow(f.now, req) {
		return &laburnumv1.BorrowResponse{Sequence: req.Sequence, Void: true}
	}
	return bank.Answer(req.Borrower, req.Sequence)
}

func (f *dataCentre) answer(req *laburnumv1.BorrowRequest, resp *laburnumv1.BorrowResponse, sent time.Time) {
	for i, a := range f.entries {
		if a.id == req.Borrower {
			if f.heard[i].Before(sent) {
				f.heard[i] = sent
			}
			f.updateFenced(i)
			a.Apply(req, resp)
		}
	}
}

// exchange runs one request and response without loss or delay.
func (f *dataCentre) exchange(i int) {
	f.updateFenced(i)
	f.entries[i].SetHolder(f.bank.id)
	req := f.entries[i].Request(f.now)
	f.answer(req, f.borrow(req), f.now)
}

func (f *dataCentre) acquire(i int) {
	f.updateFenced(i)
	if f.entries[i].TryAcquire(testWorkspace) {
		f.running = append(f.running, work{owner: i, until: f.now.Add(testMaxRun)})
	}
}

func (f *dataCentre) finish(at int) {
	if owner := f.running[at].owner; owner >= 0 {
		f.entries[owner].Release(testWorkspace)
	}
	f.running = append(f.running[:at], f.running[at+1:]...)
}

func (f *dataCentre) advance(steps int) {
	f.now = f.now.Add(time.Duration(steps) * testStep)
	for i := 0; i < len(f.running); {
		if f.now.Before(f.running[i].until) {
			i++
			continue
		}
		f.finish(i)
	}
	f.bank.Tick(f.now, noAnnouncements{})
	f.commit()
}

// commit acts as the control log: it takes the permits that the holder gave up out of the slice. restoreSlice adds
// them again.
func (f *dataCentre) commit() {
	for _, line := range f.bank.Lines(true) {
		if line.Incarnation == f.sliceIncarnation && line.Held < f.slice {
			f.slice = line.Held
			f.sliceIncarnation++
			f.bank.SetSlice(f.now, testWorkspace, f.slice, f.sliceIncarnation, f.sheetLimit)
		}
	}
}

func (f *dataCentre) restoreSlice() {
	f.sliceIncarnation++
	f.slice = f.sheetLimit
	f.bank.SetSlice(f.now, testWorkspace, f.slice, f.sliceIncarnation, f.sheetLimit)
}

func (f *dataCentre) check() {
	// Permits that entries could acquire now count as running.
	sum := 0
	for _, w := range f.running {
		if w.owner < 0 {
			sum++
		}
	}
	for i, a := range f.entries {
		b := a.shard(testWorkspace).permitsOf(testWorkspace)
		part := b.running
		if f.now.Sub(f.heard[i]) < testFence {
			part = max(part, min(b.held, b.target))
		}
		sum += part
	}
	if sum > testLimit {
		f.t.Fatalf("%d requests may run, the limit is %d", sum, testLimit)
	}
	if out := f.bank.workspaces[testWorkspace].outstanding(); out > int(f.slice) {
		f.t.Fatalf("the holder has lent %d permits of a slice of %d", out, f.slice)
	}
}

// TestRandomScheduleStaysWithinLimit checks that running requests never exceed the limit under lost, repeated, late
// and reordered messages, restarts of entries, changes of holder, and a slice that shrinks and grows.
func TestRandomScheduleStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newDataCentre(t, rapid.IntRange(1, 3).Draw(t, "entries"))
		entry := func() int { return rapid.IntRange(0, len(f.entries)-1).Draw(t, "entry") }
		flight := func() int {
			if len(f.inFlight) == 0 {
				t.Skip()
			}
			return rapid.IntRange(0, len(f.inFlight)-1).Draw(t, "flight")
		}
		t.Repeat(map[string]func(*rapid.T){
			"send":     func(*rapid.T) { f.send(entry()) },
			"deliver":  func(*rapid.T) { f.deliver(flight(), false) },
			"repeat":   func(*rapid.T) { f.deliver(flight(), true) },
			"lose":     func(*rapid.T) { at := flight(); f.inFlight = append(f.inFlight[:at], f.inFlight[at+1:]...) },
			"acquire":  func(*rapid.T) { f.acquire(entry()) },
			"exchange": func(*rapid.T) { f.exchange(entry()) },
			"fill": func(*rapid.T) {
				for i := entry(); f.entries[i].Running(testWorkspace) < testLimit; {
					before := len(f.running)
					f.acquire(i)
					if len(f.running) == before {
						break
					}
				}
			},
			"finish": func(t *rapid.T) {
				if len(f.running) == 0 {
					t.Skip()
				}
				f.finish(rapid.IntRange(0, len(f.running)-1).Draw(t, "work"))
			},
			"advance": func(t *rapid.T) { f.advance(rapid.IntRange(1, 12).Draw(t, "steps")) },
			"restart": func(*rapid.T) { f.restart(entry()) },
			"holder":  func(*rapid.T) { f.replaceHolder(true) },
			"shrink": func(*rapid.T) {
				f.bank.SetTarget(f.now, &laburnumv1.SliceTarget{Team: testWorkspace, Incarnation: f.sliceIncarnation, Permits: 2})
				f.commit()
			},
			"raise": func(*rapid.T) { f.restoreSlice() },
			"":      func(*rapid.T) { f.check() },
		})
	})
}
