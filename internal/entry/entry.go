// Package entry implements an entry instance: it accepts requests from callers and announcements from backend
// servers, and routes the requests to the servers according to the accepted configuration.
package entry

import (
	"context"
	"encoding/hex"
	"net/http"

	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"laburnumrouter/internal/connection/peer"
	"laburnumrouter/internal/process/directory"
	"laburnumrouter/internal/process/escrow"
	"laburnumrouter/internal/process/membership"
	"laburnumrouter/internal/process/metrics"
	"laburnumrouter/internal/process/server"
	"laburnumrouter/internal/process/tlsconf"
	"laburnumrouter/internal/request/admission"
	"laburnumrouter/internal/request/forward"
	"laburnumrouter/internal/request/idempotency"
	"laburnumrouter/internal/request/queue"
	"laburnumrouter/internal/request/requestid"
	"laburnumrouter/internal/request/routing"
	"laburnumrouter/internal/version/feed"
	"laburnumrouter/proto/laburnum/v1/laburnumv1connect"
)

// Error is the class of all errors of this package.
var Error = errs.Class("entry")

// errUncertain is the class of errors of calls that may have taken effect although they were not answered.
var errUncertain = errs.Class("uncertain")

const (
	queueRefreshInterval = 100 * time.Millisecond
	// bodyCost is the memory for each byte of a body that is read whole.
	bodyCost = 5
	// outgoingFiles is the part of the descriptors, as a divisor, that is kept for connections to backend servers and other
	// processes. Each request that is passed on takes one beside its caller's.
	outgoingFiles = 2
)

// Entry is one entry instance.
type Entry struct {
	settings         *Settings
	log              hclog.Logger
	metrics          *metrics.Registry
	scope            tally.Scope
	ready            server.Readiness
	tlsSource        *tlsconf.Source
	now              func() time.Time
	backendKeyDigest []byte

	store           *feed.Store
	directory       *directory.Directory
	members         *membership.Table
	quorumContact   *membership.QuorumContact // last contact with the quorum of the control log
	gossip          *gossip
	reporter        *reporter
	contested       *contestedSet
	started         time.Time
	caughtUp        atomic.Bool // set once the entry has caught up with its data centre; never reset
	permits         escrow.Permits
	escrowMember    *escrowMember
	router          *routing.Router
	queue           *queue.Queue
	records         idempotency.Recorder
	recorder        *recorder
	forwarder       *forward.Forwarder
	ids             *requestid.Generator
	overflowEntries *overflowTable

	schedulers       *schedulers
	grants           *grantTable
	awaitingHeader   *responseHeaderWaits
	grantsInUse      *grantsInUseTable
	deferred         deferredReleaseList
	retries          *retryBudget
	inboundOverflows atomic.Int64 // requests that overflowed from other data centres and run through this entry

	controls []*peer.Peer
	entries  []*peer.Peer
}

// New returns an entry instance with checked settings.
func New(s *Settings, log hclog.Logger) (*Entry, error) {
	key, err := hex.DecodeString(s.BackendKeySHA256)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	start := time.Now()
	incarnation := uint64(start.UnixMilli())
	tlsSource, err := tlsconf.Open(s.TLS, log)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	e := &Entry{
		tlsSource:        tlsSource,
		settings:         s,
		log:              log,
		metrics:          metrics.New("laburnum_entry", s.Name),
		now:              time.Now,
		backendKeyDigest: key,
		store:            feed.NewStore(),
		directory:        directory.New(),
		members:          membership.NewTable(s.Name, s.DataCentre, incarnation),
		quorumContact:    membership.NewQuorumContact(start),
		started:          start,
		reporter:         newReporter(),
		contested:        newContestedSet(),
		grants:           newGrantTable(),
		awaitingHeader:   newResponseHeaderWaits(),
		grantsInUse:      newGrantsInUseTable(),
		retries:          newRetryBudget(),
	}
	e.scope = e.metrics.Scope()
	e.ids = requestid.NewGenerator(s.Name, incarnation)
	e.overflowEntries = newOverflowTable(s.DataCentre, s.Entries)
	e.escrowMember = newEscrowMember(e, start)
	e.permits = e.escrowMember.account
	e.recorder = newRecorder(e)
	e.records = e.recorder.keyRouter()
	e.router = routing.NewRouter(e.directory, e.store.View, e.logRouting)
	weight := func(workspace, pool string) uint32 { return e.store.View().Share(workspace, pool) }
	e.queue = queue.New(e.router, e.permits, e.ids, weight, e.now)
	e.forwarder = newForwarder(tlsSource)
	dialer := peer.NewSecureDialer(e.tlsSource)
	e.controls = dialer.Peers(s.Controls)
	e.entries = dialer.Peers(s.Entries)
	for _, p := range e.entries {
		e.members.Add(p.Name, p.DataCentre)
	}
	e.schedulers = newSchedulers(s.Name, s.DataCentre, e.members, e.entries)
	e.gossip = newGossip(incarnation, start, e.entries, s.DataCentre)
	e.ready.SetCheck(e.readiness)
	return e, nil
}

// Run serves until ctx ends and then shuts down gracefully.
func (e *Entry) Run(ctx context.Context) error {
	listeners, err := server.Listen(&e.settings.Node)
	if err != nil {
		return Error.Wrap(err)
	}
	listeners.UseTLS(e.tlsSource, e.log)
	server.LimitHeap(&e.settings.Node)
	listeners.LimitClients(server.NewIntake(server.LimitsFor(&e.settings.Node, bodyCost, outgoingFiles), e.log.Named("intake"), e.scope))
	listeners.Drain = e.drainPeers
	e.log.Info("listening", "public", listeners.Public.Addr(), "peer", listeners.Peer.Addr())
	// Background loops keep running while the servers finish their requests.
	loops, stopLoops := context.WithCancel(context.Background())
	defer stopLoops()
	var group errgroup.Group
	group.Go(func() error {
		defer stopLoops()
		return server.Serve(ctx, listeners, e.publicHandler(), e.peerHandler(), &e.ready, e.settings.StopTimeout.Std())
	})
	group.Go(func() error { return e.followFeed(loops) })
	group.Go(func() error { return e.exchangeLoop(loops) })
	group.Go(func() error { return e.reportLoop(loops) })
	group.Go(func() error { return e.queueRefreshLoop(loops) })
	group.Go(func() error { return e.gaugeLoop(loops) })
	group.Go(func() error { return e.connectionCheckLoop(loops) })
	group.Go(func() error { return e.grantLoop(loops) })
	for _, p := range e.schedulers.peers {
		group.Go(func() error { return e.schedulers.settleLoop(loops, p) })
	}
	group.Go(func() error { return e.escrowMember.tickLoop(loops) })
	group.Go(func() error { return e.escrowMember.borrowLoop(loops) })
	group.Go(func() error { return e.escrowMember.sliceLoop(loops) })
	group.Go(func() error { return e.recorder.syncLoop(loops) })
	err = group.Wait()
	e.escrowMember.close()
	e.log.Info("stopped")
	return Error.Wrap(errs.Combine(err, e.metrics.Close()))
}

func (e *Entry) publicHandler() http.Handler {
	mux := http.NewServeMux()
	server.HandleHealthAndMetrics(mux, &e.ready, e.metrics)
	mux.HandleFunc("PUT /v1/instances/{id}", e.serveAnnouncement)
	e.handleJobs(mux)
	e.handleOperators(mux)
	return withPrefix(admission.PathPrefix, e.serveRequest, mux)
}

func (e *Entry) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(laburnumv1connect.NewFeedServiceHandler(&feed.Server{Store: e.store, QuorumAge: func() time.Duration { return e.quorumContact.Age(e.now()) }}, peer.CompressLarge()))
	mux.Handle(laburnumv1connect.NewGossipServiceHandler(&gossipServer{entry: e}, peer.CompressLarge()))
	mux.Handle(laburnumv1connect.NewRecordServiceHandler(&recordServer{recorder: e.recorder}, peer.CompressLarge()))
	mux.Handle(laburnumv1connect.NewSchedulerServiceHandler(&schedulerServer{entry: e}, peer.CompressLarge()))
	mux.Handle(laburnumv1connect.NewEscrowServiceHandler(&escrowServer{member: e.escrowMember}, peer.CompressLarge()))
	return withPrefix(forward.PeerPrefix+"/", e.serveOverflow, mux)
}

// queueRefreshLoop dispatches waiting requests when an instance becomes usable for another reason than the end of a
// request, such as a new announcement.
func (e *Entry) queueRefreshLoop(ctx context.Context) error {
	return every(ctx, queueRefreshInterval, func() {
		e.router.Refresh(e.now())
		e.queue.Reevaluate()
	})
}

// every calls f at the given interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f()
		case <-ctx.Done():
			return nil
		}
	}
}
