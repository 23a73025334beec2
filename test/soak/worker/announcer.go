package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"laburnumrouter/platform/outside"
	"laburnumrouter/test/soak/history"
)

const (
	announceInterval = time.Second
	announceTimeout  = time.Second
)

// Announcer announces a worker to the control instances.
type Announcer struct {
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

func (b *Announcer) run(ctx context.Context, w *Worker) {
	b.client.Timeout = announceTimeout
	for {
		b.announceOnce(w)
		select {
		case <-ctx.Done():
			return
		case <-time.After(announceInterval):
		}
	}
}

// announceOnce announces the worker; after a failure it turns to the other control instances.
func (b *Announcer) announceOnce(w *Worker) {
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

func (b *Announcer) announce(w *Worker, address string, draining bool) bool {
	b.seq++
	state := "ready"
	if draining {
		state = "draining"
	}
	body, err := json.Marshal(outside.Announcement{
		Service: b.Service, Address: b.Address, DataCentre: b.DataCentre, Version: "v1", Slots: 8, State: state,
		Capacity: map[string]int64{"cpu": w.settings.Capacity, "mem_mb": 65536, "gpu": 0}, Labels: []string{"a", b.DataCentre + "-r1"},
		ClockMS: w.clockMS(history.Now()), Seq: b.seq, BornMS: w.bornUnix,
	})
	if err != nil {
		return false
	}
	answer, ok := b.send(http.MethodPut, address, b.ID, body)
	if !ok {
		return false
	}
	b.prefer(outside.NextAddress(answer))
	return true
}

// prefer announces to the control instance at a real address from now on.
func (b *Announcer) prefer(address string) {
	for i, real := range b.RealControls {
		if real == address {
			b.preferred = b.Controls[i]
		}
	}
}

func (b *Announcer) send(method, address, id string, body []byte) ([]byte, bool) {
	req, err := http.NewRequest(method, "http://"+address+outside.PathInstances+id, bytes.NewReader(body))
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
func (b *Announcer) leave() {
	for _, address := range b.Controls {
		if _, ok := b.send(http.MethodDelete, address, b.ID, nil); ok {
			return
		}
	}
}
