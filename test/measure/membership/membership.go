// Package membership measures the bytes and processor time of the exchanges between entries, by the number of
// instances.
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
	exchangesPerSecond   = 2
	phaseSeed            = 7
	rounds               = 200             // of exchanges
	lifetime             = 3 * time.Second // after which a view that was not heard again is left out
	bytesPerSecondTarget = 4096            // control traffic of a node, bytes a second
	coreTargetPercent    = 1.7             // processor time of control on a node, percent of a core
)

// sizes are the numbers of instances that announce themselves to one entry: in the current fleets of both users, in
// the fleet to design for with its 4,400 instances spread over its entries, and with all 4,400 at one entry.
var sizes = []int{10, 50, 275, 4400}

// Run records the bytes and processor time of the exchanges of one entry with one peer.
func Run(ctx context.Context, r *recorder.Recorder) error {
	series := recorder.Series{Plot: "Exchange between two entries", Name: "deltas", XLabel: "instances", YLabel: "bytes a second"}
	for _, n := range sizes {
		deltas, err := measureExchange(ctx, n, false)
		if err != nil {
			return err
		}
		whole, err := measureExchange(ctx, n, true)
		if err != nil {
			return err
		}
		r.Add(recorder.Figure{
			Area: area, Name: fmt.Sprintf("exchange with one peer, %d instances", n), Unit: "bytes/s",
			Value: deltas.bytes, Baseline: whole.bytes, BaselineName: "whole views",
			Target: bytesPerSecondTarget, HasTarget: true, Better: recorder.Lower,
		})
		r.Add(recorder.Figure{
			Area: area, Name: fmt.Sprintf("processor time of both ends, %d instances", n), Unit: "% of a core",
			Value: deltas.core, Baseline: whole.core, BaselineName: "whole views",
			Target: coreTargetPercent, HasTarget: true, Better: recorder.Lower,
		})
		series.Points = append(series.Points, recorder.Point{X: float64(n), Y: deltas.bytes})
	}
	r.AddSeries(series)
	return nil
}

// cost is the usage of the exchanges with one peer, at both ends together.
type cost struct {
	bytes float64 // per second, both directions
	core  float64 // percent of a core
}

// server answers exchanges from a log, with changes only or, if fullViews is set, with all views each time.
type server struct {
	log       *viewsync.Log
	now       time.Time
	fullViews bool
}

// Exchange implements GossipService.
func (s *server) Exchange(_ context.Context, req *laburnumv1.ExchangeRequest) (*laburnumv1.ExchangeResponse, error) {
	cursor := req.Cursor
	if s.fullViews {
		cursor = nil
	}
	return &laburnumv1.ExchangeResponse{
		Node: "entry-2", DataCentre: "dc1", Incarnation: 1, InForceIndex: 1,
		Instances: s.log.Since(cursor, s.now, lifetime),
	}, nil
}

// nullSink discards the received views.
type nullSink struct{}

func (nullSink) Observe(*laburnumv1.InstanceView, time.Time) bool { return true }
func (nullSink) Refresh(string, uint64, time.Time)                {}

// measureExchange returns the cost of exchanges over loopback while n instances announce themselves.
func measureExchange(ctx context.Context, n int, whole bool) (cost, error) {
	var transferred atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return cost{}, err
	}
	start := time.Unix(1_000_000, 0)
	s := &server{log: viewsync.NewLog(1, start), now: start, fullViews: whole}
	mux := http.NewServeMux()
	mux.Handle(laburnumv1connect.NewGossipServiceHandler(s))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	httpServer := &http.Server{Handler: mux, Protocols: protocols}
	go func() { _ = httpServer.Serve(&countingListener{listener, &transferred}) }()
	defer httpServer.Close()
	client := peer.NewDialer().Peer(settings.Peer{Name: "entry-2", DataCentre: "dc1", Address: listener.Addr().String()})
	mirror := viewsync.NewMirror()
	var processorStart time.Duration
	var firstBytes int64
	for round := range rounds {
		s.announce(n, round)
		s.now = s.now.Add(time.Second / exchangesPerSecond)
		if round == exchangesPerSecond { // the first delta is a full one, which is not the steady state
			processorStart, firstBytes = processorTime(), transferred.Load()
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
		bytes: float64(transferred.Load()-firstBytes) / seconds,
		core:  100 * (processorTime() - processorStart).Seconds() / seconds,
	}, nil
}

// announce adds to the log the announcements that are due in this round. Each instance announces itself once a
// second, at a random phase. The first round adds all instances, so that the numbers which the log gives to them are
// independent of their phases.
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

// processorTime returns the user and system time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// countingListener counts the bytes read and written by the connections that it accepts.
type countingListener struct {
	net.Listener
	transferred *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c, l.transferred}, nil
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
