package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	platformapi "laburnumrouter/internal/connection/platform"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const maxBodyBytes = 16 << 20

// Handle registers on mux the handlers of the platform's protocol, of setting faults, and of reading how often each command was
// started.
func (p *Platform) Handle(mux *http.ServeMux) {
	mux.HandleFunc("PUT /v1/tasks/{id}", p.withFaults(p.serveStart))
	mux.HandleFunc("DELETE /v1/tasks/{id}", p.withFaults(p.serveStop))
	mux.HandleFunc("POST /v1/tasks/{id}/checkpoint", p.withFaults(p.serveCheckpoint))
	mux.HandleFunc("PUT /v1/tasks/{id}/throttle", p.withFaults(p.serveThrottle))
	mux.HandleFunc("POST /v1/leases", p.withFaults(p.serveRenew))
	mux.HandleFunc("PUT /v1/instances/{instance}/drain", p.withFaults(p.serveDrain))
	mux.HandleFunc("PUT /v1/instances/{instance}/reboots/{id}", p.withFaults(p.serveReboot))
	mux.HandleFunc("PUT /standin/faults", p.serveFaults)
	mux.HandleFunc("GET /standin/starts", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(p.Starts())
	})
}

// withFaults wraps a handler and injects the faults that are enabled.
func (p *Platform) withFaults(h func(r *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.requests++
		faults, n := p.faults, p.requests
		p.mu.Unlock()
		time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
		if faults.Refuse {
			http.Error(w, "refused: injected fault", http.StatusConflict)
			return
		}
		answer, err := h(r)
		if faults.LoseAnswers > 0 && n%faults.LoseAnswers == 0 {
			panic(http.ErrAbortHandler) // the request took effect, but its answer is lost
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if answer == nil {
			answer = struct{}{}
		}
		_ = json.NewEncoder(w).Encode(answer)
	}
}

func decode(r *http.Request, v any) error {
	return json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBodyBytes)).Decode(v)
}

func (p *Platform) serveStart(r *http.Request) (any, error) {
	var t platformapi.Task
	if err := decode(r, &t); err != nil {
		return nil, err
	}
	if t.ID != r.PathValue("id") {
		return nil, Error.New("task %q in the body, %q in the path", t.ID, r.PathValue("id"))
	}
	return nil, p.start(&t)
}

func (p *Platform) serveStop(r *http.Request) (any, error) {
	p.stop(r.PathValue("id"))
	return nil, nil
}

func (p *Platform) serveCheckpoint(r *http.Request) (any, error) {
	return nil, p.checkpoint(r.PathValue("id"))
}

func (p *Platform) serveThrottle(r *http.Request) (any, error) {
	limit := &laburnumv1.Resources{}
	if err := decode(r, limit); err != nil {
		return nil, err
	}
	return nil, p.throttle(r.PathValue("id"), limit)
}

func (p *Platform) serveRenew(r *http.Request) (any, error) {
	var req platformapi.RenewRequest
	if err := decode(r, &req); err != nil {
		return nil, err
	}
	lease := time.Duration(req.LeaseMS) * time.Millisecond
	return &platformapi.RenewResponse{Tasks: p.renew(req.IDs, lease)}, nil
}

func (p *Platform) serveDrain(r *http.Request) (any, error) {
	var req platformapi.DrainRequest
	if err := decode(r, &req); err != nil {
		return nil, err
	}
	p.drain(r.PathValue("instance"), req.On)
	return nil, nil
}

func (p *Platform) serveReboot(r *http.Request) (any, error) {
	p.reboot(r.PathValue("instance"), r.PathValue("id"))
	return nil, nil
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := decode(r, &f); err != nil {
		http.Error(w, fmt.Sprintf("faults: %v", err), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}
