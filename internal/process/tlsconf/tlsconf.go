// Package tlsconf builds TLS configurations from certificate files and reloads them when the files change.
//
// A handshake checks the modification times of the files, at most once in reloadInterval, and reloads all files if any
// has changed. If they can't be loaded, the last good set stays in use.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"laburnumrouter/internal/process/settings"
)

// Error is the class of all errors of this package.
var Error = errs.Class("tlsconf")

// reloadInterval is the shortest time between two checks of the files.
const reloadInterval = time.Second

// Source holds the certificates of a process. It is safe for concurrent use.
type Source struct {
	settings settings.TLS
	log      hclog.Logger
	now      func() time.Time

	mu           sync.Mutex
	current      *certificateSet
	lastCheck    time.Time
	reloadFailed bool // the last reload failed, and was logged
}

// certificateSet holds the content of all files, loaded together.
type certificateSet struct {
	pair        tls.Certificate
	peers       *x509.CertPool // nil if peers are not authenticated
	operators   *x509.CertPool // nil if operators have no certificates
	modTimeHash int64          // changes when the modification time of any file changes
}

// Open loads the files of t. It returns nil without error if t switches TLS off.
func Open(t settings.TLS, log hclog.Logger) (*Source, error) {
	if t.Cert == "" {
		return nil, nil
	}
	certs, err := load(t)
	if err != nil {
		return nil, err
	}
	return &Source{settings: t, log: log, now: time.Now, current: certs, lastCheck: time.Now()}, nil
}

func load(t settings.TLS) (*certificateSet, error) {
	certs := &certificateSet{modTimeHash: hashModTimes(t)}
	var err error
	if certs.pair, err = tls.LoadX509KeyPair(t.Cert, t.Key); err != nil {
		return nil, Error.Wrap(err)
	}
	if certs.peers, err = loadPool(t.PeerCA); err != nil {
		return nil, err
	}
	if certs.operators, err = loadPool(t.OperatorCA); err != nil {
		return nil, err
	}
	return certs, nil
}

func loadPool(path string) (*x509.CertPool, error) {
	if path == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, Error.New("%s contains no PEM certificate", path)
	}
	return pool, nil
}

// hashModTimes combines the modification times of all files into one number; missing files are skipped.
func hashModTimes(t settings.TLS) int64 {
	var sum int64
	for _, path := range []string{t.Cert, t.Key, t.PeerCA, t.OperatorCA} {
		if info, err := os.Stat(path); err == nil {
			sum = sum*31 + info.ModTime().UnixNano()
		}
	}
	return sum
}

// latest returns the current certificates, after reloading them if the files have changed.
func (s *Source) latest() *certificateSet {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Sub(s.lastCheck) < reloadInterval {
		return s.current
	}
	s.lastCheck = now
	if hashModTimes(s.settings) == s.current.modTimeHash {
		return s.current
	}
	reloaded, err := load(s.settings)
	if err != nil {
		if !s.reloadFailed {
			s.log.Error("certificates not reloaded; the last good ones stay in use", "error", err)
		}
		s.reloadFailed = true
		return s.current
	}
	s.reloadFailed = false
	s.current = reloaded
	s.log.Info("certificates reloaded", "expires", expiry(reloaded).Format(time.RFC3339))
	return reloaded
}

// expiry returns when the process's own certificate expires, or the zero time if it can't be parsed.
func expiry(certs *certificateSet) time.Time {
	leaf, err := x509.ParseCertificate(certs.pair.Certificate[0])
	if err != nil {
		return time.Time{}
	}
	return leaf.NotAfter.UTC()
}

// Expires returns when the process's own certificate expires.
func (s *Source) Expires() time.Time { return expiry(s.latest()) }

// Public returns the configuration of the listener for callers, backend servers and operators. A client certificate is
// optional; if the client sends one, it must be signed by the operators' authority.
func (s *Source) Public() *tls.Config {
	return s.perConnection(func(certs *certificateSet) *tls.Config {
		config := serverConfig(certs)
		if certs.operators != nil {
			config.ClientAuth = tls.VerifyClientCertIfGiven
			config.ClientCAs = certs.operators
		}
		return config
	})
}

// Peer returns the configuration of the listener for the system's own processes. Both sides must present a certificate
// that the peers' authority signed.
func (s *Source) Peer() *tls.Config {
	return s.perConnection(func(certs *certificateSet) *tls.Config {
		config := serverConfig(certs)
		if certs.peers != nil {
			config.ClientAuth = tls.RequireAndVerifyClientCert
			config.ClientCAs = certs.peers
		}
		return config
	})
}

// perConnection returns a configuration that is built anew for each connection, so that reloaded files take effect on
// the next connection.
func (s *Source) perConnection(build func(*certificateSet) *tls.Config) *tls.Config {
	config := build(s.latest())
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return build(s.latest()), nil }
	return config
}

func serverConfig(certs *certificateSet) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{certs.pair},
		NextProtos:   []string{"h2", "http/1.1"},
	}
}

// Client returns the configuration of one connection to a peer at host, an IP address.
func (s *Source) Client(host string) *tls.Config {
	certs := s.latest()
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The certificate is sent even if the server does not list its authority as acceptable, so that the server
		// logs why it refuses the certificate.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &certs.pair, nil },
		RootCAs:              certs.peers,
		ServerName:           host,
		NextProtos:           []string{"h2"},
	}
}

// ClientHTTP1 returns the configuration of one connection to a peer that speaks HTTP/1.1.
func (s *Source) ClientHTTP1(host string) *tls.Config {
	config := s.Client(host)
	config.NextProtos = []string{"http/1.1"}
	return config
}

// LogHandshakeFailure logs that a TLS handshake with the peer at address failed, for example because one side refused the
// other's certificate.
func (s *Source) LogHandshakeFailure(address string, err error) {
	s.log.Warn("TLS with peer refused", "address", address, "error", err)
}
