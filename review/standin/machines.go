package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
)

// platform is a stand-in for the platform's list of machines. Each minion is on a machine of its own that stays where it is.
type platform struct {
	mu       sync.Mutex
	machines []object
	address  string
}

func startPlatform() (*platform, error) {
	p := &platform{}
	l, err := net.Listen("tcp", "127.0.71.61:0")
	if err != nil {
		return nil, err
	}
	p.address = l.Addr().String()
	mux := http.NewServeMux()
	write := func(w http.ResponseWriter, status int, body object) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
	mux.HandleFunc("GET /laburnumrouter/machines", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		write(w, 200, object{"machines": p.machines, "next_token": ""})
	})
	busy := func(w http.ResponseWriter, _ *http.Request) { write(w, 409, object{"reason": "busy"}) }
	mux.HandleFunc("POST /laburnumrouter/machine-move", busy)
	mux.HandleFunc("POST /laburnumrouter/machine-upkeep", busy)
	go func() { _ = http.Serve(l, mux) }()
	return p, nil
}

// add lists a machine with its minion.
func (p *platform) add(machine, pool, zone, id string, cpu int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.machines = append(p.machines, object{
		"machine": machine, "pool": pool, "state": "up", "zone": zone, "labels": []string{"a", "r-" + zone},
		"capacity": object{"cpu": cpu, "mem_mb": 65536, "gpu": 0}, "id": id,
	})
}

// replace gives a machine another minion.
func (p *platform) replace(machine, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.machines {
		if m["machine"] == machine {
			m["id"] = id
		}
	}
}
