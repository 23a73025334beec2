package operators

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	"laburnumrouter/internal/process/logging"
	"laburnumrouter/internal/process/settings"
	"laburnumrouter/internal/process/tlsconf"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
	"laburnumrouter/proto/laburnum/v1/laburnumv1connect"
	"laburnumrouter/test/certtest"
)

// operatorEcho answers Apply with the operator name that the request has when it reaches the handler.
type operatorEcho struct {
	laburnumv1connect.UnimplementedOperatorServiceHandler
}

func (operatorEcho) Apply(_ context.Context, req *laburnumv1.ApplyRequest) (*laburnumv1.ApplyResponse, error) {
	return &laburnumv1.ApplyResponse{Outcome: &laburnumv1.SheetOutcome{By: req.By}}, nil
}

func authenticatedHandler(operators ...Settings) http.Handler {
	auth := New(operators, logging.Discard())
	mux := http.NewServeMux()
	path, handler := laburnumv1connect.NewOperatorServiceHandler(operatorEcho{}, connect.WithInterceptors(auth.Interceptor()))
	mux.Handle(path, auth.Identify(handler))
	return mux
}

func digestOf(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// bearerTransport adds a bearer key to each request.
type bearerTransport string

func (k bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Set("Authorization", "Bearer "+string(k))
	return http.DefaultTransport.RoundTrip(r)
}

func applyAs(client *http.Client, url, claimed string) (string, error) {
	operator := laburnumv1connect.NewOperatorServiceClient(client, url)
	resp, err := operator.Apply(context.Background(), &laburnumv1.ApplyRequest{By: claimed})
	return resp.GetOutcome().GetBy(), err
}

func TestOperatorKey(t *testing.T) {
	server := httptest.NewServer(authenticatedHandler(
		Settings{Name: "ana", KeySHA256: digestOf("ana-secret")},
		Settings{Name: "luis", KeySHA256: digestOf("luis-secret")}))
	defer server.Close()
	by, err := applyAs(&http.Client{Transport: bearerTransport("luis-secret")}, server.URL, "ana")
	must.NoError(t, err)
	must.Eq(t, "luis", by)
	for _, key := range []string{"", "other", digestOf("luis-secret")} {
		_, err = applyAs(&http.Client{Transport: bearerTransport(key)}, server.URL, "ana")
		must.Eq(t, connect.CodeUnauthenticated, connect.CodeOf(err))
	}
}

func TestWithoutOperatorsTheRequestNamesTheCaller(t *testing.T) {
	server := httptest.NewServer(authenticatedHandler())
	defer server.Close()
	by, err := applyAs(http.DefaultClient, server.URL, "ana")
	must.NoError(t, err)
	must.Eq(t, "ana", by)
}

func TestOperatorCertificate(t *testing.T) {
	dir := t.TempDir()
	ca := certtest.NewAuthority(t, dir, "ca")
	operators := certtest.NewAuthority(t, dir, "operators")
	cert, key := ca.Issue(t, dir, "control-1", time.Now().Add(time.Hour))
	source, err := tlsconf.Open(settings.TLS{Cert: cert, Key: key, PeerCA: ca.File, OperatorCA: operators.File}, logging.Discard())
	must.NoError(t, err)
	server := httptest.NewUnstartedServer(authenticatedHandler(Settings{Name: "ana"}))
	server.TLS = source.Public()
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.StartTLS()
	defer server.Close()

	tests := []struct {
		name     string
		issuer   *certtest.Authority
		cn       string
		admitted bool
	}{
		{"listed", operators, "ana", true},
		{"not listed", operators, "mallory", false},
		{"peers' authority", ca, "ana", false},
	}
	for _, tt := range tests {
		certFile, keyFile := tt.issuer.Issue(t, t.TempDir(), tt.cn, time.Now().Add(time.Hour))
		by, err := applyAs(clientWith(t, ca.File, certFile, keyFile), server.URL, "mallory")
		must.Eq(t, tt.admitted, err == nil, must.Sprint(tt.name))
		must.Eq(t, tt.admitted, by == "ana", must.Sprint(tt.name))
	}
}

func clientWith(t *testing.T, caFile, certFile, keyFile string) *http.Client {
	pem, err := os.ReadFile(caFile)
	must.NoError(t, err)
	roots := x509.NewCertPool()
	must.True(t, roots.AppendCertsFromPEM(pem))
	pair, err := tls.LoadX509KeyPair(certFile, keyFile)
	must.NoError(t, err)
	// GetClientCertificate sends the certificate even if the server does not list its authority as acceptable.
	config := &tls.Config{RootCAs: roots, GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return &pair, nil
	}}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
}

// TestEveryChangingRequestHasOperatorNameField fails if a request of a method that changes something has no field for the
// operator's name: such a change would be recorded without its author.
func TestEveryChangingRequestHasOperatorNameField(t *testing.T) {
	readOnly := map[string]bool{"Export": true, "Status": true, "Explain": true, "ListJobs": true}
	methods := laburnumv1.File_laburnum_v1_operator_proto.Services().ByName("OperatorService").Methods()
	for i := range methods.Len() {
		m := methods.Get(i)
		if !readOnly[string(m.Name())] {
			must.NotNil(t, m.Input().Fields().ByName(operatorNameField), must.Sprint(m.Name()))
		}
	}
}
