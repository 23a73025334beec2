package leader

import (
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"

	"laburnumrouter/internal/dispatch"
	"laburnumrouter/internal/process/server"
)

// Handle registers the interface between processes on mux: CallPath executes calls if this instance leads, and
// callers' reads also if it doesn't and its state is fresh; LeaderPath
// returns its report about the leader. bodies bounds the bodies of concurrent calls.
func Handle(mux *http.ServeMux, d *dispatch.Dispatcher, status func() LeaderStatus, bodies *server.Bodies) {
	mux.HandleFunc("GET "+LeaderPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, status())
	})
	mux.Handle("POST "+CallPath, bodies.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := &dispatch.Call{}
		if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(call); err != nil {
			if errors.Is(err, server.ErrBodiesFull) {
				rejectCall(w, r)
				return
			}
			http.Error(w, "cannot decode the call", http.StatusBadRequest)
			return
		}
		reply, err := d.Do(r.Context(), call)
		if errors.Is(err, dispatch.ErrNotLeader) {
			reply, err = d.Read(r.Context(), call)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusMisdirectedRequest)
			return
		}
		writeJSON(w, reply)
	}), rejectCall))
}

// HandleAbsent registers the same interface of an instance that takes no part in the log: it executes no calls, and status is its
// report.
func HandleAbsent(mux *http.ServeMux, status LeaderStatus) {
	mux.HandleFunc("GET "+LeaderPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, status) })
	mux.HandleFunc("POST "+CallPath, func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, dispatch.ErrNotLeader.Error(), http.StatusMisdirectedRequest)
	})
}

// rejectCall replies that a call wasn't carried out, for the size of concurrent ones.
func rejectCall(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, &dispatch.Reply{
		Outcome: dispatch.Unavailable, Reason: server.ErrBodiesFull.Error(), RetryAfterMS: retryAfter(rand.Float64()).Milliseconds(),
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// Encoding fails only if the connection is lost; the caller notices that and repeats the request.
	_ = json.NewEncoder(w).Encode(v)
}
