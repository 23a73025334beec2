// Package control implements a control instance. Every instance replicates the control log and streams the
// committed changes to the entry instances (entries); the leader of the log also plans assignments, maintenance waves,
// slices and jobs.
package control

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"laburnumrouter/internal/connection/peer"
	"laburnumrouter/internal/connection/platform"
	"laburnumrouter/internal/connection/replication"
	"laburnumrouter/internal/process/membership"
	"laburnumrouter/internal/process/metrics"
	"laburnumrouter/internal/process/operators"
	"laburnumrouter/internal/process/replica"
	"laburnumrouter/internal/process/server"
	"laburnumrouter/internal/process/tlsconf"
	"laburnumrouter/internal/version/feed"
	"laburnumrouter/internal/version/sheet"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
	"laburnumrouter/proto/laburnum/v1/laburnumv1connect"
)

const (
	// bodyCost is the memory for each byte of a request from an operator: a sheet is decoded, checked and proposed.
	bodyCost = 10
	// outgoingFiles is the part of the descriptors, as a divisor, that is kept for connections to other processes and platforms.
	outgoingFiles = 4
	// maxOperatorBytes bounds a decoded request from an operator: twice the largest sheet.
	maxOperatorBytes = 2 * sheet.MaxBytes
)

// Error is the class of all errors of this package.
var Error = errs.Class("control")

// Control is one control instance.
type Control struct {
	settings     *Settings
	log          hclog.Logger
	metrics      *metrics.Registry
	ready        server.Readiness
	certificates *tlsconf.Source
	now          func() time.Time

	store         *feed.Store
	machine       *lockedMachine
	replica       *replica.Node
	fleet         *fleet
	quorumContact *membership.QuorumContact
	slicer        *slicer
	records       *recordBatcher
	// platforms maps each data centre to the client of its platform.
	platforms map[string]platform.Client
	jobs      *jobRunner
}

// New opens the control instance's state from its data folder.
func New(s *Settings, log hclog.Logger) (*Control, error) {
	source, err := tlsconf.Open(s.TLS, log)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	c := &Control{
		certificates:  source,
		settings:      s,
		log:           log,
		metrics:       metrics.New("laburnum_control", s.Name),
		now:           time.Now,
		store:         feed.NewStore(),
		fleet:         newFleet(time.Now()),
		quorumContact: membership.NewQuorumContact(time.Now()),

		platforms: platformClients(s),
	}
	c.machine = newLockedMachine(c.store, log)
	c.jobs = newJobRunner(c)
	c.machine.notifyJobRunner(c.jobs)
	node, err := replica.Open(replica.Options{
		Voters:    firstVoters(s),
		Join:      s.Join,
		Name:      s.Name,
		Dir:       s.DataDir,
		Machine:   c.machine,
		Transport: newReplicaTransport(func() *peer.Dialer { return peer.NewSecureDialer(source) }, s.Controls),
		Log:       log.Named("replica"),
		// Reads are confirmed one by one in this mode, so there is no leader lease to revoke.
		HandoverTicks: replica.DefaultElectionTicks,
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	c.replica = node
	c.slicer = newSlicer(c)
	c.records = newRecordBatcher(c)
	c.ready.SetCheck(c.checkReady)
	return c, nil
}

// checkReady reports whether this instance can commit commands and serve current state; if not, it returns the reason.
func (c *Control) checkReady() (bool, string) {
	status := c.replica.Status()
	switch {
	case status.Failure != "":
		return false, status.Failure
	case !status.QuorumAlive:
		return false, "no quorum of the control log"
	}
	return true, ""
}

// Run serves until ctx ends and then stops gracefully.
func (c *Control) Run(ctx context.Context) error {
	listeners, err := server.Listen(&c.settings.Node)
	if err != nil {
		return Error.Wrap(err)
	}
	listeners.UseTLS(c.certificates, c.log)
	server.LimitHeap(&c.settings.Node)
	listeners.LimitClients(server.NewIntake(server.LimitsFor(&c.settings.Node, bodyCost, outgoingFiles), c.log.Named("intake"), c.metrics.Scope()))
	c.log.Info("listening", "public", listeners.Public.Addr(), "peer", listeners.Peer.Addr())
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	var group errgroup.Group
	group.Go(func() error {
		defer stopBackground()
		return server.Serve(ctx, listeners, c.publicHandler(), c.peerHandler(), &c.ready, c.settings.StopTimeout.Std())
	})
	group.Go(func() error { return c.replica.Run(background) })
	group.Go(func() error { return c.planLoop(background) })
	group.Go(func() error { return c.gaugeLoop(background) })
	group.Go(func() error { return c.waveLoop(background) })
	group.Go(func() error { return c.jobs.placeLoop(background) })
	group.Go(func() error { return c.jobs.watchLoop(background) })
	group.Go(func() error { return c.transferLeadershipOnStop(ctx, background) })
	group.Go(func() error { return c.withdrawalLoop(background) })
	group.Go(func() error { return c.recordGroupLoop(background) })
	group.Go(func() error { return c.slicer.run(background) })
	group.Go(func() error { return c.records.run(background) })
	err = group.Wait()
	c.log.Info("stopped")
	return Error.Wrap(errs.Combine(err, c.metrics.Close()))
}

func (c *Control) publicHandler() http.Handler {
	mux := http.NewServeMux()
	server.HandleHealthAndMetrics(mux, &c.ready, c.metrics)
	auth := operators.New(c.settings.Operators, c.log)
	path, handler := laburnumv1connect.NewOperatorServiceHandler(&operatorServer{control: c}, connect.WithInterceptors(auth.Interceptor()), connect.WithReadMaxBytes(maxOperatorBytes), operators.PlainRequests(), peer.CompressLarge())
	mux.Handle(path, auth.Identify(operators.RefuseUnreceived(handler)))
	return mux
}

func (c *Control) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(laburnumv1connect.NewFeedServiceHandler(&feed.Server{Store: c.store, QuorumAge: c.quorumAge}, peer.CompressLarge()))
	mux.Handle(laburnumv1connect.NewReportServiceHandler(&reportServer{control: c}, peer.CompressLarge()))
	mux.Handle(laburnumv1connect.NewGlobalRecordServiceHandler(&globalRecordServer{batcher: c.records}, peer.CompressLarge()))
	mux.Handle(laburnumv1connect.NewSliceServiceHandler(&sliceServer{slicer: c.slicer}, peer.CompressLarge()))
	receiver := replication.NewReceiver(c.replica.Receive)
	mux.Handle(receiver.Handler(&replicaServer{receiver, c.replica}, peer.CompressLarge()))
	mux.Handle(laburnumv1connect.NewJobServiceHandler(&jobServer{control: c}, peer.CompressLarge()))
	return mux
}

// propose sets the command's time, commits it to the control log and returns its result.
func (c *Control) propose(ctx context.Context, cmd *laburnumv1.Command) (*laburnumv1.CommandResult, error) {
	cmd.AtUnixMs = c.now().UnixMilli()
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	encoded, err := c.replica.Propose(ctx, data)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	result := &laburnumv1.CommandResult{}
	return result, Error.Wrap(proto.Unmarshal(encoded, result))
}
