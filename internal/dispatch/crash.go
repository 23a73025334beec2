package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"laburnumrouter/internal/request/ledger"
)

// maxLoggedRuns limits the runs that are named in the log line about the end of a backend server.
const maxLoggedRuns = 8

// newestRunsLocked describes the newest live runs of a backend server for the log: task, run, the time since it was ordered,
// and the state of its order.
func (s *session) newestRunsLocked(serverID string) []string {
	live := s.engine.ledger.LiveOn(serverID)
	ids := make([]ledger.TaskID, 0, len(live))
	for id := range live {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b ledger.TaskID) int {
		return cmp.Or(cmp.Compare(live[b].OrderedMS, live[a].OrderedMS), strings.Compare(a.String(), b.String()))
	})
	nowMS := time.Now().UnixMilli()
	var list []string
	for _, id := range ids[:min(len(ids), maxLoggedRuns)] {
		t, state := live[id], "inherited"
		if o := s.orders[runKey{id, t.Run}]; o != nil {
			state = o.state.String()
		}
		list = append(list, fmt.Sprintf("%v run %d, %d ms, %s", id, t.Run, nowMS-t.OrderedMS, state))
	}
	return list
}
