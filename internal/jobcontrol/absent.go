package jobcontrol

import (
	"net/http"
	"sync/atomic"

	"laburnumrouter/internal/leader"
	"laburnumrouter/internal/request/ledger"
)

// peerSwitch passes the calls of other processes to the handler in use.
type peerSwitch struct{ handler atomic.Pointer[http.Handler] }

func (s *peerSwitch) use(h http.Handler) { s.handler.Store(&h) }

// ServeHTTP implements http.Handler.
func (s *peerSwitch) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	(*s.handler.Load()).ServeHTTP(w, r)
}

// absentHandler answers other processes while this instance takes no part in the log: that it doesn't lead, and the addresses of the
// members that it knew last, so that a new instance finds the leader.
func absentHandler(members []string) http.Handler {
	mux := http.NewServeMux()
	leader.HandleAbsent(mux, leader.LeaderStatus{Failing: true, Members: members, Format: ledger.NewestFormat})
	mux.HandleFunc("POST "+joinPath, func(w http.ResponseWriter, _ *http.Request) { writeMembers(w, members) })
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "this instance takes no part in the log: its data folder isn't open", http.StatusServiceUnavailable)
	})
	return mux
}
