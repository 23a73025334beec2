package escrow

import (
	"hash/maphash"
	"sync"
	"time"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	accountShards = 16
	// needWindow is how long the need stays at a peak after the peak was last reached.
	needWindow = 5 * time.Second
	// headroomDivisor sets the headroom: the need exceeds the running requests by 1/headroomDivisor of them, plus 1.
	headroomDivisor = 8
	// needToleranceDivisor sets the tolerance: a need that changes by at most 1/needToleranceDivisor is not reported.
	needToleranceDivisor = 4
)

// Account is the borrower's side of escrow: the permits that one entry may use. It is safe for concurrent use.
//
// The held permits grow only by the response to the latest request, and shrink only when a request is built, the
// account is fenced or changes its id, or the holder declares them void. A response that is lost, repeated or late
// therefore changes nothing.
type Account struct {
	id           string
	wake         chan struct{}
	notifyUsable func() // called without locks held; see NewAccount
	gate         func(workspace string) bool

	seed   maphash.Seed
	shards [accountShards]accountShard

	mu       sync.Mutex // exchange state; taken before shard locks
	holder   string
	sequence uint64
	applied  uint64
	fenced   bool
}

type accountShard struct {
	mu         sync.Mutex
	fenced     bool
	workspaces map[string]*workspacePermits
}

// workspacePermits is the state of one workspace's permits in an account. Permits above target are returned as requests end; no
// new request may use them.
type workspacePermits struct {
	held, running, target      int
	refusedNeed                int // need implied by a refusal since the last request, 0 if none was refused
	need, recentPeak           int
	needUpdatedAt              time.Time
	reportedHeld, reportedNeed int // values that the holder has from the last report, -1 if it may not have them
}

// NewAccount returns an empty account of the borrower id. It calls onUsableChange after a grant of usable permits and
// when fencing starts or ends, but not on Release.
func NewAccount(id string, onUsableChange func()) *Account {
	a := &Account{id: id, wake: make(chan struct{}, 1), notifyUsable: onUsableChange, seed: maphash.MakeSeed()}
	for i := range a.shards {
		a.shards[i].workspaces = make(map[string]*workspacePermits)
	}
	return a
}

// SetGate sets a function that can refuse permits of a workspace even if the account holds some. It must be called
// before the account is used.
func (a *Account) SetGate(gate func(workspace string) bool) { a.gate = gate }

// Wake returns a channel that receives a value when the account needs an exchange with the holder.
func (a *Account) Wake() <-chan struct{} { return a.wake }

func (a *Account) shard(workspace string) *accountShard {
	return &a.shards[maphash.String(a.seed, workspace)%accountShards]
}

func (s *accountShard) permitsOf(workspace string) *workspacePermits {
	b := s.workspaces[workspace]
	if b == nil {
		b = &workspacePermits{reportedHeld: -1, reportedNeed: -1}
		s.workspaces[workspace] = b
	}
	return b
}

// TryAcquire implements Permits. A refusal raises the need that the next request reports.
func (a *Account) TryAcquire(workspace string) bool { return a.acquire(workspace, true) }

// TryAcquireWithoutDemand implements Permits.
func (a *Account) TryAcquireWithoutDemand(workspace string) bool { return a.acquire(workspace, false) }

func (a *Account) acquire(workspace string, demand bool) bool {
	if a.gate != nil && !a.gate(workspace) {
		return false
	}
	s := a.shard(workspace)
	s.mu.Lock()
	b := s.permitsOf(workspace)
	ok := !s.fenced && b.running < min(b.held, b.target)
	needRaised := false
	switch {
	case ok:
		b.running++
	case demand:
		wanted := 2*max(b.held, b.running) + 1
		needRaised = b.refusedNeed == 0 && b.need < wanted
		b.refusedNeed = max(b.refusedNeed, wanted)
	}
	s.mu.Unlock()
	if needRaised {
		a.signal()
	}
	return ok
}

// Release implements Permits.
func (a *Account) Release(workspace string) {
	s := a.shard(workspace)
	s.mu.Lock()
	b := s.permitsOf(workspace)
	b.running--
	surplus := b.held > b.target
	s.mu.Unlock()
	if surplus {
		a.signal()
	}
}

// Running implements Permits.
func (a *Account) Running(workspace string) int {
	s := a.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.workspaces[workspace]; b != nil {
		return b.running
	}
	return 0
}

// Held returns the number of permits that the account holds, in use or not.
func (a *Account) Held(workspace string) int {
	s := a.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.workspaces[workspace]; b != nil {
		return b.held
	}
	return 0
}

// signal requests an exchange with the holder; see Wake.
func (a *Account) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// SetFenced stops or resumes the acquisition of permits; running requests continue. A fenced account keeps only the
// permits in use, as the holder may lend the others to someone else. It must be called with the current state
// before each Request.
func (a *Account) SetFenced(fenced bool) {
	a.mu.Lock()
	changed := a.fenced != fenced
	a.fenced = fenced
	a.mu.Unlock()
	if !changed && !fenced {
		return
	}
	for i := range a.shards {
		a.shards[i].mu.Lock()
		a.shards[i].setFenced(fenced)
		a.shards[i].mu.Unlock()
	}
	if changed {
		a.notifyUsable()
	}
}

func (s *accountShard) setFenced(fenced bool) {
	s.fenced = fenced
	if !fenced {
		return
	}
	for _, b := range s.workspaces {
		b.target = 0
		b.held = min(b.held, b.running)
	}
}

// SetHolder sets the holder to borrow from. After a change of holder the next request reports all workspaces, and
// responses of the former holder are ignored.
func (a *Account) SetHolder(holder string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.holder == holder {
		return
	}
	a.holder = holder
	a.applied = 0
	a.signal()
}

// SetID changes the borrower's id, as is needed after its incarnation was raised because the clock had gone back (see
// membership.Table.Refute). The holder keeps back the permits of the former id until the requests running on them must
// have ended.
func (a *Account) SetID(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.id == id {
		return
	}
	a.id = id
	a.applied = 0
	a.clearHeld()
	a.signal()
}

// Request builds the next request to the holder. It returns nil if no holder is known.
func (a *Account) Request(now time.Time) *laburnumv1.BorrowRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.holder == "" {
		return nil
	}
	a.sequence++
	req := &laburnumv1.BorrowRequest{Borrower: a.id, Holder: a.holder, Sequence: a.sequence, Applied: a.applied}
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		for workspace, b := range s.workspaces {
			if line := b.buildLine(workspace, now, a.applied == 0); line != nil {
				req.Lines = append(req.Lines, line)
			}
		}
		s.mu.Unlock()
	}
	return req
}

// Closing builds the last request, which returns all permits that are not in use. The holder keeps back those in
// use until their requests must have ended.
func (a *Account) Closing(now time.Time) *laburnumv1.BorrowRequest {
	a.SetFenced(true)
	req := a.Request(now)
	if req != nil {
		req.Closing = true
	}
	return req
}

// buildLine gives up held permits that are above the target and not in use, and returns the workspace's line, or nil if
// the holder already has it.
func (b *workspacePermits) buildLine(workspace string, now time.Time, full bool) *laburnumv1.BorrowLine {
	if b.held > b.target {
		b.held = max(b.target, min(b.running, b.held))
	}
	b.updateNeed(now)
	reported := b.reportedHeld == b.held && withinTolerance(b.need, b.reportedNeed)
	if full {
		reported = b.held == 0 && b.need == 0
	}
	if reported {
		return nil
	}
	b.reportedHeld, b.reportedNeed = -1, -1 // until the response is applied
	return &laburnumv1.BorrowLine{Team: workspace, Held: uint32(b.held), Need: uint32(b.need)}
}

// withinTolerance reports whether need differs so little from sent, the need last sent, that sending it can be skipped.
func withinTolerance(need, sent int) bool {
	if sent <= 0 || need == 0 {
		return need == sent
	}
	return max(need-sent, sent-need) <= sent/needToleranceDivisor
}

// updateNeed raises the need with demand at once and lowers it after needWindow. A refused permit doubles the need.
func (b *workspacePermits) updateNeed(now time.Time) {
	demand := b.running
	if b.running > 0 {
		demand += b.running/headroomDivisor + 1
	}
	demand = max(demand, b.refusedNeed)
	b.refusedNeed = 0
	b.recentPeak = max(b.recentPeak, demand)
	if b.recentPeak >= b.need {
		b.need = b.recentPeak
		b.recentPeak = demand
		b.needUpdatedAt = now
		return
	}
	if now.Sub(b.needUpdatedAt) >= needWindow {
		b.need = b.recentPeak
		b.recentPeak = demand
		b.needUpdatedAt = now
	}
}

// Apply applies the holder's response to req. It ignores any response but that to the latest request, and every
// response while the account is fenced: the holder may have lent the permits to others in the meantime.
func (a *Account) Apply(req *laburnumv1.BorrowRequest, resp *laburnumv1.BorrowResponse) {
	a.mu.Lock()
	latest := req.Sequence == a.sequence && resp.Sequence == a.sequence && req.Holder == a.holder
	if !latest || resp.NotHolder || a.fenced {
		a.mu.Unlock()
		return
	}
	a.applied = req.Sequence
	if resp.Void {
		a.applied = 0
		a.clearHeld()
		a.signal()
	}
	for _, line := range req.Lines {
		s := a.shard(line.Team)
		s.mu.Lock()
		b := s.permitsOf(line.Team)
		b.reportedHeld, b.reportedNeed = int(line.Held), int(line.Need)
		s.mu.Unlock()
	}
	more := a.applyGrants(resp.Lines)
	a.mu.Unlock()
	if more {
		a.notifyUsable()
	}
}

func (a *Account) applyGrants(lines []*laburnumv1.GrantLine) (more bool) {
	for _, line := range lines {
		s := a.shard(line.Team)
		s.mu.Lock()
		b := s.permitsOf(line.Team)
		usable := min(b.held, b.target)
		b.held, b.target = int(line.Granted), int(line.Target)
		b.reportedHeld = b.held
		more = more || min(b.held, b.target) > usable
		surplus := b.held > max(b.target, b.running)
		s.mu.Unlock()
		if surplus {
			a.signal()
		}
	}
	return more
}

// clearHeld drops all held permits, which are void.
func (a *Account) clearHeld() {
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		for _, b := range s.workspaces {
			b.held, b.target = 0, 0
			b.reportedHeld, b.reportedNeed = -1, -1
		}
		s.mu.Unlock()
	}
}
