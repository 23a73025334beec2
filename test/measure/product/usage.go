package product

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"laburnumrouter/internal/entry"
	"laburnumrouter/test/fleet"
)

// clockTick is the unit of the processor times in /proc/PID/stat on Linux.
const clockTick = 10 * time.Millisecond

// usage is the resource usage of a process. Processor time and bytes are counted since its start.
type usage struct {
	processor     time.Duration
	resident      int64 // bytes
	liveHeapBytes int64 // heap that the last garbage collection left
	bytes         int64 // read and written in total: sockets, journal and log
}

// usage returns the usage of every process by name.
func (p *processes) usage() (map[string]usage, error) {
	byName := make(map[string]usage)
	for _, n := range append(append([]*fleet.Node(nil), p.controls...), p.entries...) {
		u, err := readUsage(n.PID())
		if err != nil {
			return nil, err
		}
		if u.liveHeapBytes, err = liveHeap(n); err != nil {
			return nil, err
		}
		byName[n.Name] = u
	}
	return byName, nil
}

// role returns the role of a process. The first entry of each data centre is its relay.
func (p *processes) role(name string) string {
	for i, n := range p.entries {
		if n.Name == name && i < p.size.dataCentres {
			return "relay"
		}
		if n.Name == name {
			return "entry"
		}
	}
	if name == p.leader() {
		return "leader"
	}
	return "voter"
}

// leader returns the name of the leader as reported by the first control instance that knows one.
func (p *processes) leader() string {
	for _, n := range p.controls {
		resp, err := http.Post("http://"+n.Public+"/laburnum.v1.OperatorService/Status", "application/json", strings.NewReader(`{"summary":true}`))
		if err != nil {
			continue
		}
		var status struct {
			Leader string `json:"leader"`
		}
		err = json.NewDecoder(resp.Body).Decode(&status)
		resp.Body.Close()
		if err == nil && status.Leader != "" {
			return status.Leader
		}
	}
	return ""
}

func readUsage(pid int) (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, err
	}
	// Fields after the command's closing parenthesis: utime and stime are 11 and 12, rss in pages 21.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	ticks := parseInt(fields[11]) + parseInt(fields[12])
	u := usage{processor: time.Duration(ticks) * clockTick, resident: parseInt(fields[21]) * int64(os.Getpagesize())}
	transferred, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return usage{}, err
	}
	for _, line := range strings.Split(string(transferred), "\n") {
		name, value, _ := strings.Cut(line, ": ")
		if name == "rchar" || name == "wchar" {
			u.bytes += parseInt(value)
		}
	}
	return u, nil
}

// liveHeap returns the bytes of heap that the last garbage collection left. It is half of the metric
// go_memstats_next_gc_bytes: the next collection starts when the heap has grown to twice what the last one left.
func liveHeap(n *fleet.Node) (int64, error) {
	resp, err := http.Get("http://" + n.Public + "/metrics")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), "\ngo_memstats_next_gc_bytes ")
	value, _, _ := strings.Cut(rest, "\n")
	next, err := strconv.ParseFloat(value, 64)
	return int64(next / 2), err
}

// parseInt returns the number in text, or 0 if text is not a number.
func parseInt(text string) int64 {
	n, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// announce lets every instance of the fleet announce itself to an entry of its data centre, at the interval that the
// answers set. It returns a running count of the announcements sent, whether or not they were answered.
func announce(ctx context.Context, entries []*fleet.Node, s size) *atomic.Int64 {
	var sent atomic.Int64
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: s.instances}}
	incarnation := uint64(time.Now().UnixMilli())
	for i := range s.instances {
		target := entryOf(entries, s, i)
		go func() {
			wait := time.Duration(i) * time.Second / time.Duration(s.instances)
			for sequence := uint64(1); ; sequence++ {
				select {
				case <-time.After(wait):
				case <-ctx.Done():
					return
				}
				wait = announceOnce(ctx, client, target, i, incarnation, sequence)
				sent.Add(1)
			}
		}()
	}
	return &sent
}

// entryOf returns the entry to which instance i announces itself. The instances of a data centre are spread evenly
// over its entries.
func entryOf(entries []*fleet.Node, s size, i int) *fleet.Node {
	var own []*fleet.Node
	for j := i % s.dataCentres; j < len(entries); j += s.dataCentres {
		own = append(own, entries[j])
	}
	return own[i/s.dataCentres%len(own)]
}

// announceOnce sends one announcement and returns the time until the next one: one second if it fails.
func announceOnce(ctx context.Context, client *http.Client, e *fleet.Node, i int, incarnation, sequence uint64) time.Duration {
	body, err := json.Marshal(&entry.Announcement{
		Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250+1), DataCentre: e.DataCentre, Rack: fmt.Sprintf("rack-%04d", i/4),
		Services: []string{"service"}, Slots: 8, Incarnation: incarnation, Sequence: sequence, State: "serving",
	})
	if err != nil {
		return time.Second
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, fmt.Sprintf("http://%s/v1/instances/instance-%05d", e.Public, i), bytes.NewReader(body))
	if err != nil {
		return time.Second
	}
	req.Header.Set("Authorization", "Bearer "+backendSecret)
	resp, err := client.Do(req)
	if err != nil {
		return time.Second
	}
	defer resp.Body.Close()
	var reply entry.AnnouncementReply
	if json.NewDecoder(resp.Body).Decode(&reply) != nil || reply.NextMS <= 0 {
		return time.Second
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return time.Duration(reply.NextMS) * time.Millisecond
}
