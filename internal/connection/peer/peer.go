// Package peer holds the connections to the system's other processes.
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"laburnumrouter/internal/process/settings"
	"laburnumrouter/internal/process/tlsconf"
	"laburnumrouter/proto/laburnum/v1/laburnumv1connect"
)

const (
	connectTimeout  = time.Second
	pingAfter       = 2 * time.Second
	pingTimeout     = 2 * time.Second
	idleLinkTimeout = time.Minute
	// compressMinBytes is the smallest size of a response that is compressed. A compressor takes most of a megabyte of
	// memory, so only the rare large responses get one.
	compressMinBytes = 16 << 10
	// maxOrderMessageBytes bounds a message of OrderService, which may hold a report of all runs on a backend server.
	maxOrderMessageBytes = 8 << 20
)

// Peer is another process, with clients of the services that it may offer.
type Peer struct {
	settings.Peer
	Feed    laburnumv1connect.FeedServiceClient
	Gossip  laburnumv1connect.GossipServiceClient
	Report  laburnumv1connect.ReportServiceClient
	Replica laburnumv1connect.ReplicaServiceClient
	Record  laburnumv1connect.RecordServiceClient
	Escrow  laburnumv1connect.EscrowServiceClient
	// Scheduler grants slots of the pools that the peer schedules.
	Scheduler     laburnumv1connect.SchedulerServiceClient
	Slices        laburnumv1connect.SliceServiceClient
	GlobalRecords laburnumv1connect.GlobalRecordServiceClient
	Jobs          laburnumv1connect.JobServiceClient
	Orders        laburnumv1connect.OrderServiceClient
}

// Dialer connects to peers over one transport. A silent connection is checked with an HTTP/2 ping; without a response to
// it, the connection is closed and the next call dials a new one.
type Dialer struct {
	client *http.Client
	scheme string
	source *tlsconf.Source // nil without TLS
}

// NewDialer returns a dialer for HTTP/2 without TLS.
func NewDialer() *Dialer { return NewSecureDialer(nil) }

// NewSecureDialer returns a dialer for HTTP/2 over mutual TLS, or without TLS if source is nil.
func NewSecureDialer(source *tlsconf.Source) *Dialer {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return newDialer(source, dialer.DialContext, &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout})
}

// newDialer returns a dialer whose connections are opened by dial, for HTTP/2 over mutual TLS, or without TLS if source is nil.
func newDialer(source *tlsconf.Source, dial dialFunc, pings *http.HTTP2Config) *Dialer {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(source == nil)
	protocols.SetHTTP2(source != nil)
	transport := &http.Transport{DialContext: dial, Protocols: protocols, IdleConnTimeout: idleLinkTimeout, HTTP2: pings}
	scheme := "http"
	if source != nil {
		scheme = "https"
		transport.DialTLSContext = dialTLS(dial, source)
	}
	return &Dialer{client: &http.Client{Transport: transport}, scheme: scheme, source: source}
}

// CloseIdle closes the connections of the dialer's peers that aren't in use.
func (d *Dialer) CloseIdle() { d.client.CloseIdleConnections() }

// dialFunc opens a connection.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// dialTLS returns a dial function that uses the current certificates of source and logs a failed TLS handshake.
func dialTLS(dial dialFunc, source *tlsconf.Source) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		secure := tls.Client(conn, source.Client(host))
		if err := secure.HandshakeContext(ctx); err != nil {
			source.LogHandshakeFailure(address, err)
			return nil, errors.Join(err, conn.Close())
		}
		return secure, nil
	}
}

// CompressLarge returns a handler option that compresses only responses of at least compressMinBytes.
func CompressLarge() connect.HandlerOption { return connect.WithCompressMinBytes(compressMinBytes) }

// Peers returns a Peer for each element of list.
func (d *Dialer) Peers(list []settings.Peer) []*Peer {
	peers := make([]*Peer, 0, len(list))
	for _, p := range list {
		peers = append(peers, d.Peer(p))
	}
	return peers
}

// Peer returns the Peer at the address in p. It does not connect yet.
func (d *Dialer) Peer(p settings.Peer) *Peer {
	base := d.scheme + "://" + p.Address
	return &Peer{
		Peer:          p,
		Feed:          laburnumv1connect.NewFeedServiceClient(d.client, base),
		Gossip:        laburnumv1connect.NewGossipServiceClient(d.client, base),
		Report:        laburnumv1connect.NewReportServiceClient(d.client, base),
		Replica:       laburnumv1connect.NewReplicaServiceClient(d.client, base),
		Record:        laburnumv1connect.NewRecordServiceClient(d.client, base),
		Escrow:        laburnumv1connect.NewEscrowServiceClient(d.client, base),
		Scheduler:     laburnumv1connect.NewSchedulerServiceClient(d.client, base),
		Slices:        laburnumv1connect.NewSliceServiceClient(d.client, base),
		GlobalRecords: laburnumv1connect.NewGlobalRecordServiceClient(d.client, base),
		Jobs:          laburnumv1connect.NewJobServiceClient(d.client, base),
		Orders:        laburnumv1connect.NewOrderServiceClient(d.client, base, connect.WithReadMaxBytes(maxOrderMessageBytes)),
	}
}
