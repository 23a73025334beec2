package dispatch

import (
	"context"
	"errors"
	"maps"
	"sync/atomic"
	"time"

	"laburnumrouter/internal/process/boottime"
)

// errWithheld is returned for an order for a machine that was not sent, because it could have ended work.
var errWithheld = errors.New("the order is withheld: work may run on the machine, or the list of machines is too old to tell")

// machineOrder is a move or an upkeep of a machine, decided when the machine carried a server. It ends whichever server the
// machine carries once it takes effect.
type machineOrder struct {
	machine string
	// server is the ID of the server, which is reserved and has no runs; empty if the machine is off.
	server string
}

// orderMachine sends an order for a machine, unless it could end work. It returns errWithheld if it wasn't sent for that reason.
func (s *session) orderMachine(o machineOrder, send func(ctx context.Context) (MachineAnswer, error)) (MachineAnswer, error) {
	if !s.beginMachineOrder(o) {
		return 0, errWithheld
	}
	ctx, cancel := context.WithTimeout(s.ctx, machineTimeout)
	defer cancel()
	var withheld atomic.Bool
	answer, err := send(WithPermission(ctx, func() bool {
		s.engine.mu.Lock()
		permitted := s.mayOrder() && s.endsNoWorkLocked(o)
		s.engine.mu.Unlock()
		if !permitted {
			withheld.Store(true)
		}
		return permitted
	}))
	s.stats.machineCalls.Inc(1)
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.machineOrders--
	if err != nil && withheld.Load() {
		return 0, errWithheld
	}
	return answer, err
}

// beginMachineOrder reports whether an order may be sent now. If so, servers that the platform's list doesn't show yet get no work
// until the order is answered.
func (s *session) beginMachineOrder(o machineOrder) bool {
	for verified := false; ; verified = true {
		s.engine.mu.Lock()
		permitted := s.mayOrder() && s.endsNoWorkLocked(o)
		if permitted {
			s.machineOrders++
		}
		s.engine.mu.Unlock()
		if permitted || verified || !s.verifyServer(o.server) {
			return permitted
		}
	}
}

// endsNoWorkLocked reports whether an order that takes effect now ends no work: the platform's newest list shows the server that
// the order was decided for, nothing runs there or is planned, and no server with work may have taken its place since.
func (s *session) endsNoWorkLocked(o machineOrder) bool {
	if s.cachedMachines.lastServer(o.machine) != o.server || !s.idleLocked(o.server) {
		return false
	}
	// Whatever appeared before the machine was last listed with this server, or before the server last answered, is on another one.
	since := s.cachedMachines.lastListed(o.machine)
	if server := s.fleet.Get(o.server); server != nil {
		since = max(since, server.AliveAt)
	}
	for id, server := range s.fleet.All() {
		if server.AppearedAt > since && !server.Left && id != o.server && !s.idleLocked(id) && !s.cachedMachines.lists(id) {
			s.scheduleRefreshLocked(0)
			return false
		}
	}
	return true
}

// idleLocked reports whether a server has no live or planned runs.
func (s *session) idleLocked(server string) bool {
	return len(s.engine.ledger.LiveOn(server)) == 0 && s.planned[server] == 0
}

// verifyServer asks a server whether it is alive and reports whether it answered and runs nothing.
func (s *session) verifyServer(id string) bool {
	s.engine.mu.Lock()
	server := s.fleet.Get(id)
	if server == nil || server.Left {
		s.engine.mu.Unlock()
		return false
	}
	to, born := Target{ID: id, Address: server.Address}, server.Born
	s.engine.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	asked := boottime.Now()
	report, err := s.servers.Hold(ctx, to, HoldOrder{Fence: s.token(id)})
	if err != nil || report.Born != born || len(report.Running) > 0 {
		return false
	}
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	server.AliveAt = max(server.AliveAt, asked)
	return true
}

// withheldLocked returns the servers that get no new work now: those that are reserved and, while an order for a machine is under
// way or may still be carried out, those that the platform's list doesn't show yet, because the order may end them.
func (s *session) withheldLocked() map[string]bool {
	if s.machineOrders == 0 && boottime.Now() >= s.machineOrderPossibleUntil {
		return s.reserved
	}
	withheld, listedAt := s.reserved, s.cachedMachines.lastRequested()
	copied := false
	for id, server := range s.fleet.All() {
		if server.AppearedAt <= listedAt || server.Left || s.reserved[id] || s.cachedMachines.lists(id) {
			continue
		}
		if !copied {
			withheld, copied = maps.Clone(s.reserved), true
		}
		withheld[id] = true
	}
	return withheld
}

// machineOrderUnansweredLocked records that an order got no answer and may be carried out for some time.
func (s *session) machineOrderUnansweredLocked() {
	s.machineOrderPossibleUntil = max(s.machineOrderPossibleUntil, boottime.Now()+lateOrderBound)
}

// reserveUnansweredLocked reserves the servers that a new list shows on machines whose last order may still be carried out.
func (s *session) reserveUnansweredLocked(list []Machine) {
	for _, m := range list {
		switch {
		case m.Server == "":
		case s.upkeepUnanswered[m.Name]:
			s.reserved[m.Server], s.upkeepServer[m.Name] = true, m.Server
		case s.moveUnanswered[m.Name] && m.Pool != s.movedTo[m.Name]:
			s.reserved[m.Server] = true
		}
	}
}

// inheritMachineOrdersLocked takes over the orders for machines that an earlier leader committed recently. It may have sent them until
// its lease ended, and the platform may carry them out later. Their servers get no work until a list shows the result, or that none
// can follow any more.
func (s *session) inheritMachineOrdersLocked(now time.Duration) {
	var moves, upkeeps int
	for machine, intent := range s.engine.ledger.Intents() {
		by := s.engine.ledger.OrderTerm(machine)
		if by == s.holder.Fence || s.engine.timeSinceOrderLocked(machine) > lateOrderBound {
			continue
		}
		if intent.Server != "" {
			s.reserved[intent.Server] = true
		}
		if intent.Pool == "" {
			upkeeps++
			continue
		}
		moves++
		s.movedAt[machine], s.movedTo[machine], s.moveUnanswered[machine] = now, intent.Pool, true
	}
	if moves+upkeeps > 0 {
		s.log.Info("orders of an earlier leader may still be carried out", "moves", moves, "upkeeps", upkeeps)
	}
}
