package leader

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"laburnumrouter/internal/dispatch"
)

// Handle registers the interface between processes on mux: CallPath executes calls if this instance leads, and
// callers' reads also if it doesn't and its state is fresh; LeaderPath
// returns its report about the leader.
func Handle(mux *http.ServeMux, d *dispatch.Dispatcher, status func() LeaderStatus) {
	mux.HandleFunc("GET "+LeaderPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, status())
	})
	mux.HandleFunc("POST "+CallPath, func(w http.ResponseWriter, r *http.Request) {
		call := &dispatch.Call{}
		if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(call); err != nil {
			http.Error(w, "cannot decode the call", http.StatusBadRequest)
			return
		}
		reply, err := d.Do(r.Context(), call)
		if errors.Is(err, dispatch.ErrNotLeader) {
			reply, err = d.Read(call)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusMisdirectedRequest)
			return
		}
		writeJSON(w, reply)
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// Encoding fails only if the connection is lost; the caller notices that and repeats the request.
	_ = json.NewEncoder(w).Encode(v)
}
