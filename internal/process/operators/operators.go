// Package operators authenticates operators by bearer key or client certificate and sets the authenticated name in
// their requests.
package operators

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"laburnumrouter/internal/process/settings"
)

// Error is the class of all errors of this package.
var Error = errs.Class("operators")

// Settings describes one operator, who authenticates with a key or with a certificate that tls.operator_ca signed and
// whose common name is the operator's name.
type Settings struct {
	Name string `toml:"name"`
	// KeySHA256 is the SHA-256 of the operator's key in hexadecimal; empty if the operator has only a certificate.
	KeySHA256 string `toml:"key_sha256"`
}

// Check reports the faults of a list of operators. An operator without a key is a fault unless certificates is true,
// which means that operators may authenticate with certificates.
func Check(f *settings.Faults, list []Settings, certificates bool) {
	seen := make(map[string]bool)
	for i, op := range list {
		element := settings.Element("operator", i)
		settings.CheckName(f, element+".name", op.Name)
		if seen[op.Name] {
			f.Add(element+".name", "operator %q is listed twice", op.Name)
		}
		seen[op.Name] = true
		if op.KeySHA256 != "" || !certificates {
			settings.CheckDigest(f, element+".key_sha256", op.KeySHA256)
		}
	}
	if certificates && len(list) == 0 {
		f.Add("operator", "is needed with tls.operator_ca: only listed operators are admitted")
	}
}

// operatorNameField is the request field that holds the name of the operator.
const operatorNameField protoreflect.Name = "by"

// operatorKey is the context key of the authenticated operator's name.
type operatorKey struct{}

// Authenticator authenticates operators by bearer key or client certificate. If the settings list no operators, it
// accepts everyone who reaches the listener, under the name that the request gives.
type Authenticator struct {
	operators []Settings
	log       hclog.Logger
}

// enabled reports whether operators must authenticate.
func (a *Authenticator) enabled() bool { return len(a.operators) > 0 }

// New returns an authenticator for the listed operators.
func New(list []Settings, log hclog.Logger) *Authenticator {
	return &Authenticator{operators: list, log: log}
}

// Identify puts the caller's authenticated name into the request's context for Interceptor. If operators must authenticate, it refuses
// other callers before their request is read.
func (a *Authenticator) Identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name := a.nameByKey(r)
		if name == "" {
			name = a.nameByCertificate(r)
		}
		if name == "" && a.enabled() {
			a.log.Warn("operator refused", "remote", r.RemoteAddr, "path", r.URL.Path)
			refuse(w, r)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, name)))
	})
}

// errUnknown is the error of a caller who isn't an operator.
func errUnknown() *connect.Error {
	return connect.NewError(connect.CodeUnauthenticated, Error.New("the request has no key or certificate of a known operator"))
}

func refuse(w http.ResponseWriter, r *http.Request) {
	if errors := connect.NewErrorWriter(); errors.IsSupported(r) {
		_ = errors.Write(w, r, errUnknown())
		return
	}
	http.Error(w, errUnknown().Message(), http.StatusUnauthorized)
}

func (a *Authenticator) nameByKey(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	sum := sha256.Sum256([]byte(key))
	name := ""
	// Every digest is compared, so that the duration does not reveal which one matched.
	for _, op := range a.operators {
		digest, err := hex.DecodeString(op.KeySHA256)
		if err == nil && subtle.ConstantTimeCompare(sum[:], digest) == 1 {
			name = op.Name
		}
	}
	return name
}

// nameByCertificate returns the common name of a verified certificate if the settings list it.
func (a *Authenticator) nameByCertificate(r *http.Request) string {
	if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
		return ""
	}
	name := r.TLS.VerifiedChains[0][0].Subject.CommonName
	for _, op := range a.operators {
		if op.Name == name {
			return name
		}
	}
	return ""
}

// Interceptor refuses requests that are not authenticated and sets the authenticated name in the others.
func (a *Authenticator) Interceptor() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			if !a.enabled() {
				return next(ctx, req)
			}
			name, _ := ctx.Value(operatorKey{}).(string)
			if name == "" {
				return nil, errUnknown()
			}
			if message, ok := req.Any().(proto.Message); ok {
				setOperatorName(message, name)
			}
			return next(ctx, req)
		}
	}
}

// setOperatorName sets the field that names the operator, if the request has that field.
func setOperatorName(message proto.Message, name string) {
	m := message.ProtoReflect()
	if field := m.Descriptor().Fields().ByName(operatorNameField); field != nil {
		m.Set(field, protoreflect.ValueOfString(name))
	}
}
