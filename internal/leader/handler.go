package leader

import (
	"encoding/json"
	"io"
	"net/http"

	"laburnumrouter/internal/dispatch"
)

// Handle adds the interface between processes to mux: calls to the leader and the question who leads.
func Handle(mux *http.ServeMux, d *dispatch.Dispatcher, where func() Whereabouts) {
	mux.HandleFunc("GET "+WherePath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, where())
	})
	mux.HandleFunc("POST "+CallPath, func(w http.ResponseWriter, r *http.Request) {
		call := &dispatch.Call{}
		if err := json.NewDecoder(io.LimitReader(r.Body, maxReply)).Decode(call); err != nil {
			http.Error(w, "the call can't be read", http.StatusBadRequest)
			return
		}
		reply, err := d.Do(r.Context(), call)
		if err != nil {
			http.Error(w, err.Error(), http.StatusMisdirectedRequest)
			return
		}
		writeJSON(w, reply)
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The answer is lost with the connection; the caller sees that and asks again.
	_ = json.NewEncoder(w).Encode(v)
}
