package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	migrateTime     = 1500 * time.Millisecond
	maintenanceTime = 2 * time.Second
)

// machine carries one minion at a time.
type machine struct {
	name, zone, rack string
	kind             string // the label for the kind of the machine
	number           int
	capacity         int64
	guards           bool

	// Guarded by platform.mu.
	pool, state string
	lives       int
	minion      *minion
	fence       uint64
	waves       map[int64]bool
}

// platform owns the machines.
type platform struct {
	c      *cluster
	server *http.Server

	mu       sync.Mutex
	machines []*machine
	standby  map[string]bool
	waves    map[int64]map[string]bool
	closed   bool
}

func newPlatform(c *cluster) *platform {
	return &platform{c: c, standby: make(map[string]bool), waves: make(map[int64]map[string]bool)}
}

// add adds machines to a pool, four to a rack.
func (p *platform) add(pool string, count int, capacity int64, guards bool) {
	for i := range count {
		n := len(p.machines)
		p.machines = append(p.machines, &machine{
			name: fmt.Sprintf("m-%02d", n+1), zone: fmt.Sprintf("zone-%d", i%controlCount+1), rack: fmt.Sprintf("%s-r%d", pool, i/4),
			kind: "a", number: n, capacity: capacity, guards: guards, pool: pool, state: "up",
		})
	}
}

// serve starts the platform's interface and the minions.
func (p *platform) serve() error {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", p.c.host(200), platformPort))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /laburnumrouter/machines", p.list)
	mux.HandleFunc("POST /laburnumrouter/machine-move", p.move)
	mux.HandleFunc("POST /laburnumrouter/machine-upkeep", p.upkeep)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(listener) }()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.machines {
		if err := p.boot(m, "", 0); err != nil {
			return err
		}
	}
	return nil
}

// boot starts a new minion on a machine, unless its pool is a standby pool. An id that is empty stands for a new one, a time of birth
// of 0 for now. The caller holds p.mu.
func (p *platform) boot(m *machine, id string, bornMS int64) error {
	m.state = "up"
	if p.standby[m.pool] || p.closed {
		return nil
	}
	m.lives++
	if id == "" {
		id = fmt.Sprintf("i-%02d-%d", m.number+1, m.lives)
	}
	now := time.Now()
	if bornMS == 0 {
		bornMS = now.UnixMilli()
	}
	m.minion = &minion{
		c: p.c, id: id, machine: m, pool: m.pool, address: fmt.Sprintf("%s:%d", p.c.host(60+m.number), minionPort), capacity: m.capacity,
		guards: m.guards, born: now, bornMS: bornMS,
	}
	return m.minion.begin()
}

// reboot ends the minion of a machine, if there is one, and starts another one after a time.
func (p *platform) reboot(m *machine, state, pool, why string, after time.Duration) {
	old := m.minion
	m.state, m.pool, m.minion = state, pool, nil
	if old != nil {
		go old.crash(why)
	}
	time.AfterFunc(after, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.closed {
			_ = p.boot(m, "", 0) // the address was in use before, so it is there
		}
	})
}

// crash crashes the minion of a machine; another one starts there after a time.
func (p *platform) crash(m *machine, after time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.state == "up" && m.minion != nil {
		p.reboot(m, "down", m.pool, "crash", after)
	}
}

// lose crashes the minion of a machine, which is lost for good.
func (p *platform) lose(m *machine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := m.minion; old != nil {
		m.state, m.minion = "down", nil
		go old.crash("lost for good")
	}
}

// machinesOf returns the machines in a pool.
func (p *platform) machinesOf(pool string) (list []*machine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.machines {
		if m.pool == pool {
			list = append(list, m)
		}
	}
	return list
}

func (p *platform) close() {
	p.mu.Lock()
	p.closed = true
	machines := p.machines
	p.mu.Unlock()
	if p.server != nil {
		_ = p.server.Close()
	}
	for _, m := range machines {
		if m.minion != nil {
			m.minion.crash("end of the test")
		}
	}
}

func (p *platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	rows := []map[string]any{}
	for _, m := range p.machines {
		id := ""
		if m.minion != nil && m.state == "up" {
			id = m.minion.id
		}
		rows = append(rows, map[string]any{
			"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{m.kind, m.rack},
			"capacity": map[string]int64{"cpu": m.capacity, "mem_mb": 65536, "gpu": 0}, "id": id,
		})
	}
	p.mu.Unlock()
	answerJSON(w, 200, map[string]any{"machines": rows, "next_token": ""})
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // fails only if the caller has left
}

type machineOrder struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int64  `json:"wave"`
}

// receive decodes an order and returns its machine. The caller must unlock p.mu if it isn't nil.
func (p *platform) receive(w http.ResponseWriter, r *http.Request) (*machine, machineOrder) {
	var o machineOrder
	fence, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(400)
		return nil, o
	}
	p.mu.Lock()
	for _, m := range p.machines {
		if m.name != o.Machine {
			continue
		}
		if fence < m.fence {
			p.mu.Unlock()
			answerJSON(w, 409, map[string]string{"reason": "fence"})
			return nil, o
		}
		m.fence = fence
		return m, o
	}
	p.mu.Unlock()
	answerJSON(w, 400, map[string]string{})
	return nil, o
}

func (p *platform) move(w http.ResponseWriter, r *http.Request) {
	m, o := p.receive(w, r)
	if m == nil {
		return
	}
	defer p.mu.Unlock()
	switch {
	case m.pool == o.Pool:
	case m.state != "up":
		answerJSON(w, 409, map[string]string{"reason": "busy"})
		return
	default:
		p.c.rec.add("machine %s moves from %s to %s", m.name, m.pool, o.Pool)
		p.reboot(m, "moving", o.Pool, "move", migrateTime)
	}
	answerJSON(w, 200, map[string]string{})
}

func (p *platform) upkeep(w http.ResponseWriter, r *http.Request) {
	m, o := p.receive(w, r)
	if m == nil {
		return
	}
	defer p.mu.Unlock()
	switch {
	case m.waves[o.Wave]:
	case !p.waves[o.Wave][m.name]:
		answerJSON(w, 409, map[string]string{"reason": "wave"})
		return
	case m.state != "up":
		answerJSON(w, 409, map[string]string{"reason": "busy"})
		return
	default:
		if m.waves == nil {
			m.waves = make(map[int64]bool)
		}
		m.waves[o.Wave] = true
		p.c.rec.add("machine %s has its upkeep for wave %d", m.name, o.Wave)
		p.reboot(m, "upkeep", m.pool, "upkeep", maintenanceTime)
	}
	answerJSON(w, 200, map[string]string{})
}
