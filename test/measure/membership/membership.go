// Package membership measures what the entries' exchanges and reports cost, by the number of instances.
package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"laburnumrouter/internal/connection/peer"
	"laburnumrouter/internal/process/settings"
	"laburnumrouter/internal/process/viewsync"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
	"laburnumrouter/proto/laburnum/v1/laburnumv1connect"
	"laburnumrouter/test/measure/recorder"
)

const (
	area = "membership"
	// exchangesPerSecond is the rate of an entry; each instance announces itself once a second.
	exchangesPerSecond = 2
	phaseSeed          = 7
	rounds             = 200
	lifetime           = 3 * time.Second
	bytesTarget        = 4096 // a node's control traffic, bytes a second
	coreTarget         = 1.7  // a node's control time, percent of a core
)

// sizes are the instances that one entry hears: both users' today, the letter's by entry, all of them.
var sizes = []int{10, 50, 275, 4400}

// Run records bytes and processor time of one entry's exchanges with one peer.
func Run(ctx context.Context, r *recorder.Recorder) error {
	series := recorder.Series{Plot: "Exchange between two entries", Name: "deltas", XLabel: "instances", YLabel: "bytes a second"}
	for _, n := range sizes {
		deltas, err := exchange(ctx, n, false)
		if err != nil {
			return err
		}
		whole, err := exchange(ctx, n, true)
		if err != nil {
			return err
		}
		r.Add(recorder.Figure{
			Area: area, Name: fmt.Sprintf("exchange with one peer, %d instances", n), Unit: "bytes/s",
			Value: deltas.bytes, Baseline: whole.bytes, BaselineName: "whole views",
			Target: bytesTarget, HasTarget: true, Better: recorder.Lower,
		})
		r.Add(recorder.Figure{
			Area: area, Name: fmt.Sprintf("processor time of both ends, %d instances", n), Unit: "% of a core",
			Value: deltas.core, Baseline: whole.core, BaselineName: "whole views",
			Target: coreTarget, HasTarget: true, Better: recorder.Lower,
		})
		series.Points = append(series.Points, recorder.Point{X: float64(n), Y: deltas.bytes})
	}
	r.AddSeries(series)
	return nil
}

type cost struct {
	bytes float64 // a second, both directions
	core  float64 // percent of a core
}

// server answers exchanges from a log; whole makes each answer a full one.
type server struct {
	log   *viewsync.Log
	now   time.Time
	whole bool
}

// Exchange implements GossipService.
func (s *server) Exchange(_ context.Context, req *laburnumv1.ExchangeRequest) (*laburnumv1.ExchangeResponse, error) {
	cursor := req.Cursor
	if s.whole {
		cursor = nil
	}
	return &laburnumv1.ExchangeResponse{
		Node: "entry-2", DataCentre: "dc1", Incarnation: 1, InForceIndex: 1,
		Instances: s.log.Since(cursor, s.now, lifetime),
	}, nil
}

type nullSink struct{}

func (nullSink) Observe(*laburnumv1.InstanceView, time.Time) bool { return true }
func (nullSink) Refresh(string, uint64, time.Time)                {}

// exchange runs rounds of exchanges over loopback while n instances announce themselves.
func exchange(ctx context.Context, n int, whole bool) (cost, error) {
	var wire atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return cost{}, err
	}
	start := time.Unix(1_000_000, 0)
	s := &server{log: viewsync.NewLog(1, start), now: start, whole: whole}
	mux := http.NewServeMux()
	mux.Handle(laburnumv1connect.NewGossipServiceHandler(s))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	web := &http.Server{Handler: mux, Protocols: protocols}
	go func() { _ = web.Serve(&countingListener{listener, &wire}) }()
	defer web.Close()
	client := peer.NewDialer().Peer(settings.Peer{Name: "entry-2", DataCentre: "dc1", Address: listener.Addr().String()})
	mirror := viewsync.NewMirror()
	var begun time.Duration
	var firstBytes int64
	for round := range rounds {
		s.announce(n, round)
		s.now = s.now.Add(time.Second / exchangesPerSecond)
		if round == exchangesPerSecond { // the first, full delta is not the steady state
			begun, firstBytes = cpu(), wire.Load()
		}
		req := &laburnumv1.ExchangeRequest{Node: "entry-1", DataCentre: "dc1", Incarnation: 1, Cursor: mirror.Cursor()}
		resp, err := client.Gossip.Exchange(ctx, req)
		if err != nil {
			return cost{}, err
		}
		mirror.Apply(resp.Instances, s.now, nullSink{})
	}
	seconds := float64(rounds-exchangesPerSecond) / exchangesPerSecond
	return cost{
		bytes: float64(wire.Load()-firstBytes) / seconds,
		core:  100 * (cpu() - begun).Seconds() / seconds,
	}, nil
}

// announce hears the instances whose turn it is: each once a second, at a phase of its own.
// The first round hears all, so that numbers do not follow phases.
func (s *server) announce(n, round int) {
	phases := rand.New(rand.NewPCG(phaseSeed, uint64(n)))
	for i := range n {
		if due := phases.IntN(exchangesPerSecond); round > 0 && due != round%exchangesPerSecond {
			continue
		}
		s.log.Record(&laburnumv1.InstanceView{
			Instance: fmt.Sprintf("dc1-r%d-i%d", i/4, i), Address: fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250),
			DataCentre: "dc1", Rack: fmt.Sprintf("dc1-r%d", i/4), Services: []string{"drum-log", "refund"},
			Slots: 8, Incarnation: 1_700_000_000_000, Sequence: uint64(s.now.Unix()),
		}, s.now)
	}
}

// cpu returns the processor time of this process.
func cpu() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

type countingListener struct {
	net.Listener
	wire *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c, l.wire}, nil
}

type countingConn struct {
	net.Conn
	wire *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.wire.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.wire.Add(int64(n))
	return n, err
}
