package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"laburnumrouter/test/soak/history"
)

const (
	beatInterval = time.Second
	beatTimeout  = time.Second
)

// Beacon announces a worker to the control instances.
type Beacon struct {
	// ID, Service, Address and DataCentre are announced.
	ID, Service, Address, DataCentre string
	// Controls lists the addresses of the control instances. The control instance that listens at RealControls[i] is reached
	// at Controls[i].
	Controls, RealControls []string

	client    http.Client
	next      int
	preferred string
	seq       int64
	draining  atomic.Bool
	drainedAt atomic.Int64
}

func (b *Beacon) run(ctx context.Context, w *Worker) {
	b.client.Timeout = beatTimeout
	for {
		b.beat(w)
		select {
		case <-ctx.Done():
			return
		case <-time.After(beatInterval):
		}
	}
}

// beat announces the worker; after a failure it turns to the other control instances.
func (b *Beacon) beat(w *Worker) {
	for range b.Controls {
		address := b.preferred
		if address == "" {
			address = b.Controls[b.next%len(b.Controls)]
		}
		draining := b.draining.Load()
		if b.announce(w, address, draining) {
			if draining && b.drainedAt.CompareAndSwap(0, history.Now()) {
				w.out.Add(history.Event{Kind: history.Drained, Node: w.settings.Name, Life: w.settings.Life})
			}
			return
		}
		b.preferred = ""
		b.next++
	}
}

func (b *Beacon) announce(w *Worker, address string, draining bool) bool {
	b.seq++
	state := "ready"
	if draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": b.Service, "address": b.Address, "zone": b.DataCentre, "version": "v1", "slots": 8, "state": state,
		"capacity": map[string]int64{"cpu": w.settings.Capacity, "mem_mb": 65536, "gpu": 0}, "labels": []string{"a", b.DataCentre + "-r1"},
		"clock_ms": w.clockMS(history.Now()), "seq": b.seq, "born": w.bornUnix,
	})
	if err != nil {
		return false
	}
	answer, ok := b.send(http.MethodPut, address, b.ID, body)
	if !ok {
		return false
	}
	var reply struct {
		Address string `json:"heartbeat_addr"`
	}
	if json.Unmarshal(answer, &reply) == nil {
		b.prefer(reply.Address)
	}
	return true
}

// prefer announces to the control instance at a real address from now on.
func (b *Beacon) prefer(address string) {
	for i, real := range b.RealControls {
		if real == address {
			b.preferred = b.Controls[i]
		}
	}
}

func (b *Beacon) send(method, address, id string, body []byte) ([]byte, bool) {
	req, err := http.NewRequest(method, "http://"+address+pathPrefix+"/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return nil, false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return nil, false
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return answer, err == nil && resp.StatusCode/100 == 2
}

// leave says that the worker leaves for good.
func (b *Beacon) leave() {
	for _, address := range b.Controls {
		if _, ok := b.send(http.MethodDelete, address, b.ID, nil); ok {
			return
		}
	}
}
