package jobcontrol

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"laburnumrouter/internal/connection/peer"
	"laburnumrouter/internal/connection/replication"
	"laburnumrouter/internal/dispatch"
	"laburnumrouter/internal/leader"
	"laburnumrouter/internal/process/journal"
	"laburnumrouter/internal/process/replica"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/request/schedule"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// errJournalFailed is returned once the journal has failed. The instance rejoins the others when its data folder is
// writable again.
var errJournalFailed = Error.New("the journal failed")

// isStorageError reports whether err is a disk error, which may be temporary.
func isStorageError(err error) bool {
	for _, cause := range []error{errJournalFailed, syscall.ENOSPC, syscall.EDQUOT, syscall.EIO} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return journal.ErrNoSpace.Has(err)
}

// participant is this instance's part in the log. It lives as long as the data folder can be written.
type participant struct {
	*control
	node       *replica.Node
	receiver   *replication.Receiver
	dispatcher *dispatch.Dispatcher
	members    *members
	forwarding *forwarding // nil if the settings turn it off
}

// open opens the data folder.
func (c *control) open() (*participant, error) {
	s, log := c.settings, c.log
	name, founder, err := loadOrCreateIdentity(s)
	if err != nil {
		return nil, err
	}
	log.Info("starting", "member", name, "founder", founder, "seeds", s.Seeds, "first_start", s.FirstStart)
	seedPeers := PeerAddresses(s.Seeds, s.PeerListen)
	engine := dispatch.NewEngine(log.Named("engine"))
	p := &participant{control: c}
	links := replication.NewLinks(peer.NewDialer, nil, c.budget.QueueBytes)
	links.LogTo(log.Named("link"))
	p.node, err = replica.Open(replica.Options{
		Voters: initialVoters(seedPeers, founder), Join: !founder, Name: name, Dir: s.DataDir, FS: c.deps.FS, Machine: engine,
		Transport: transport{links}, Log: log.Named("log"),
		Tick: tickInterval, ElectionTicks: electionTicks, SnapshotEvery: snapshotEntries, KeepEntries: snapshotEntries, LeaderLease: true,
		Budget: c.budget, Room: c.outage.room(),
		HandoverTicks: handoverTicks, BeforeHandover: func() { p.dispatcher.Yield() },
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	scope := c.metrics.Scope()
	servers := c.deps.Servers
	if s.OrderForwarding != ForwardingOff {
		p.forwarding = newForwarding(servers, p.node, engine, func() bool { return p.dispatcher.Leads() }, log.Named("forwarding"), scope)
		servers = p.forwarding.client
	}
	p.receiver = replication.NewReceiver(p.node.Receive)
	p.dispatcher = dispatch.New(dispatch.Options{
		Name: s.Name, Address: s.Listen, Engine: engine, Replica: p.node, Servers: servers, Machines: c.deps.Machines,
		Log: log.Named("dispatch"), Scope: scope, ElectionTime: tickInterval * electionTicks,
		MachineLease: s.MachineLease.Std(), DataCentres: s.DataCentres, Cold: schedule.ColdSettings{Overshoot: s.ColdOvershoot, Slack: s.ColdSlack},
		Limits:       dispatch.LimitsFor(s.MemoryMB<<20, c.budget),
		MemberFormat: func(ctx context.Context) int { return c.client.MemberFormat(ctx, p.memberAddresses()) },
	})
	p.members = &members{
		node: p.node, name: name, address: s.PeerListen, targetVoters: 2*s.Losses + 1, seedPeers: c.currentSeeds, checkRoom: c.checkRoom,
		http: &http.Client{Timeout: joinInterval}, log: log.Named("members"),
		joiners: make(map[string]joiner),
	}
	return p, nil
}

// memberAddresses returns the peer addresses of all members of the log.
func (p *participant) memberAddresses() []string {
	var list []string
	for _, m := range p.node.Status().Members {
		list = append(list, m.Address)
	}
	return list
}

// currentSeeds returns the peer addresses of the seeds, read anew from the settings.
func (c *control) currentSeeds() []string {
	c.client.RefreshSeeds()
	return c.client.Seeds()
}

// initialVoters returns the voters of a new log, one for each seed, or nil for an instance that joins an existing log.
func initialVoters(seedPeers []string, founder bool) []*laburnumv1.Member {
	if !founder {
		return nil
	}
	var voters []*laburnumv1.Member
	for _, address := range seedPeers {
		voters = append(voters, &laburnumv1.Member{Name: address, Address: address})
	}
	return voters
}

// transport sends the log's messages to other members. Commands are not forwarded: they are proposed only on the leader.
type transport struct{ *replication.Links }

// Send implements replica.Transport. A member's name begins with its address, so that an instance that doesn't know
// the membership yet can answer its leader.
func (t transport) Send(to *laburnumv1.Member, messages []*laburnumv1.ReplicaMessage) {
	if to.Address == "" {
		address, _, _ := strings.Cut(to.Name, nameSeparator)
		to = &laburnumv1.Member{Name: to.Name, Address: address}
	}
	t.Links.Send(to, messages)
}

// Propose implements replica.Transport.
func (transport) Propose(context.Context, *laburnumv1.Member, []byte) ([]byte, uint64, error) {
	return nil, 0, replica.ErrNotLeader
}

// replicaServer implements ReplicaService without forwarded commands.
type replicaServer struct{ *replication.Receiver }

// Propose implements ReplicaService.
func (replicaServer) Propose(context.Context, *laburnumv1.ProposeRequest) (*laburnumv1.ProposeResponse, error) {
	return nil, connect.NewError(connect.CodeUnimplemented, replica.ErrNotLeader)
}

// leaderStatus reports what this instance knows about the leader.
func (p *participant) leaderStatus() leader.LeaderStatus {
	s := p.node.Status()
	status := leader.LeaderStatus{
		Leads: p.dispatcher.Leads(), Failing: s.Failure != "", Limits: p.dispatcher.Limits(), Format: ledger.NewestFormat,
		Applied: p.dispatcher.Applied(), DataCentre: p.settings.DataCentre, Members: p.memberAddresses(),
	}
	for _, m := range s.Members {
		if m.Name == s.Leader {
			status.Leader = m.Address
		}
	}
	return status
}

func (p *participant) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(p.receiver.Handler(replicaServer{p.receiver}, peer.CompressLarge()))
	if p.forwarding != nil {
		mux.Handle(p.forwarding.service.Handler())
	}
	leader.Handle(mux, p.dispatcher, p.leaderStatus, p.bodies)
	p.members.handle(mux)
	return mux
}

// run takes part in the log until ctx ends, then hands over leadership, calls shutDown and stops. It returns an error if the journal
// fails.
func (p *participant) run(ctx context.Context, shutDown func()) error {
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	var group errgroup.Group
	group.Go(func() error { return p.node.Run(work) })
	group.Go(func() error { return p.dispatcher.Run(work) })
	group.Go(func() error { return p.members.run(work) })
	if p.forwarding != nil {
		group.Go(func() error { return p.forwarding.client.Run(work) })
	}
	group.Go(func() error { p.reportSizes(work); return nil })
	group.Go(func() error {
		defer stopWork()
		err := p.watchJournal(ctx)
		if err == nil {
			p.handOver()
		}
		p.closeStreams()
		if err == nil {
			shutDown()
		}
		return err
	})
	return group.Wait()
}

// watchJournal returns nil when ctx ends, or errJournalFailed once the journal has failed.
func (p *participant) watchJournal(ctx context.Context) error {
	ticker := time.NewTicker(journalCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if s := p.node.Status(); s.Failure != "" {
				p.log.Error("journal failed", append(p.folder.describe(s.Sizes), "cause", s.Failure)...)
				return errJournalFailed
			}
		}
	}
}

// handOver hands over leadership and goes on forwarding calls for drainPeriod.
func (p *participant) handOver() {
	p.log.Info("stopping", "leads", p.dispatcher.Leads())
	p.dispatcher.Stop()
	if p.forwarding != nil {
		p.forwarding.service.Drain()
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainPeriod)
	defer cancel()
	p.node.TransferLeadership(ctx)
	<-ctx.Done()
}

// closeStreams ends the streams of other instances, which would keep the server from shutting down and their senders from learning
// that this instance takes no part any more.
func (p *participant) closeStreams() {
	p.receiver.Close()
	if p.forwarding != nil {
		p.forwarding.service.Close()
	}
}

// answeringVoters returns how many voters a leader hears, itself included.
func answeringVoters(s replica.Status) int {
	answering := 1
	for _, name := range s.Active {
		if slices.Contains(s.Voters, name) {
			answering++
		}
	}
	return answering
}

// reportSizes keeps the gauges of the log's voters and of what it takes up in memory and on disk.
func (p *participant) reportSizes(ctx context.Context) {
	scope := p.metrics.Scope().SubScope("log")
	ticker := time.NewTicker(sizesInterval)
	defer ticker.Stop()
	for {
		status := p.node.Status()
		size := status.Sizes
		scope.Gauge("voters").Update(float64(len(status.Voters)))
		if status.IsLeader {
			scope.Gauge("voters_answering").Update(float64(answeringVoters(status)))
		}
		scope.Gauge("entries_kept").Update(float64(size.Entries))
		scope.Gauge("entry_bytes_kept").Update(float64(size.EntryBytes))
		scope.Gauge("queued_bytes").Update(float64(size.QueuedBytes))
		scope.Gauge("segment_bytes").Update(float64(size.SegmentBytes))
		scope.Gauge("snapshot_bytes").Update(float64(size.SnapshotBytes))
		p.folder.report(size, scope, p.log)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
