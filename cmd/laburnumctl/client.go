package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/zeebo/errs"

	"laburnumrouter/proto/laburnum/v1/laburnumv1connect"
)

const (
	// attemptTimeout bounds a call to one instance, so that an unresponsive one leaves time to try the next.
	attemptTimeout = 3 * time.Second
	retryInterval  = 300 * time.Millisecond
	// timePerMiB is added for the size of a request: a sheet may have 32 MiB.
	timePerMiB = time.Second
)

// sendTime returns the time that is added for the size of the requests.
func (c *connection) sendTime() time.Duration {
	return time.Duration(float64(c.requestBytes) / (1 << 20) * float64(timePerMiB))
}

type operatorClient = laburnumv1connect.OperatorServiceClient

// baseContext returns the context that bounds all calls.
func (c *connection) baseContext() context.Context {
	if c.base == nil {
		return context.Background()
	}
	return c.base
}

// instance is a control instance and the client to call it with.
type instance struct {
	address string
	client  operatorClient
}

// instances returns the control instances given on the command line.
func (c *connection) instances() ([]instance, error) {
	if len(c.Control) == 0 {
		return nil, errs.New("no control instance is given; use --control or LABURNUM_CONTROL")
	}
	httpClient, scheme, err := c.httpClient()
	if err != nil {
		return nil, err
	}
	list := make([]instance, 0, len(c.Control))
	for _, address := range c.Control {
		list = append(list, instance{address, laburnumv1connect.NewOperatorServiceClient(httpClient, scheme+"://"+address)})
	}
	return list, nil
}

func (c *connection) httpClient() (client *http.Client, scheme string, err error) {
	transport := &http.Transport{}
	scheme = "http"
	if c.CA != "" {
		scheme = "https"
		if transport.TLSClientConfig, err = c.tlsConfig(); err != nil {
			return nil, "", err
		}
	}
	var key string
	if c.KeyFile != "" {
		data, err := os.ReadFile(c.KeyFile)
		if err != nil {
			return nil, "", err
		}
		key = strings.TrimSpace(string(data))
	}
	return &http.Client{Transport: &bearerTransport{key: key, next: transport}}, scheme, nil
}

func (c *connection) tlsConfig() (*tls.Config, error) {
	pem, err := os.ReadFile(c.CA)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, errs.New("%s holds no certificate", c.CA)
	}
	config := &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}
	if c.Cert != "" {
		pair, err := tls.LoadX509KeyPair(c.Cert, c.CertKey)
		if err != nil {
			return nil, err
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config, nil
}

// bearerTransport adds the operator's key, if there is one, to each request.
type bearerTransport struct {
	key  string
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (b *bearerTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if b.key != "" {
		req = req.Clone(req.Context())
		req.Header.Set("Authorization", "Bearer "+b.key)
	}
	return b.next.RoundTrip(req)
}

// call calls f with each control instance in turn until one answers, an error is final or the timeout passes.
// f must be idempotent, because it is called again after a lost answer. Instances whose last call was cut off by the
// timeout are reported with the error of their call before it.
func call[T any](c *connection, f func(ctx context.Context, client operatorClient) (T, error)) (T, error) {
	var none T
	list, err := c.instances()
	if err != nil {
		return none, err
	}
	ctx, cancel := context.WithTimeout(c.baseContext(), c.Timeout+c.sendTime())
	defer cancel()
	failures := make([]error, len(list))
	for {
		for i, in := range list {
			result, err := attempt(ctx, in, attemptTimeout+c.sendTime(), f)
			if err == nil {
				return result, nil
			}
			if final := finalError(err); final != nil {
				return none, final
			}
			if failures[i] == nil || ctx.Err() == nil {
				failures[i] = fmt.Errorf("%s: %w", in.address, err)
			}
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return none, errUnavailable.Wrap(errs.Combine(failures...))
		}
	}
}

func attempt[T any](ctx context.Context, in instance, most time.Duration, f func(context.Context, operatorClient) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	return f(ctx, in.client)
}

// finalError returns the error to report if calling another control instance can't help, and nil if it might.
func finalError(err error) error {
	switch connect.CodeOf(err) {
	case connect.CodeUnauthenticated, connect.CodePermissionDenied:
		return errDenied.Wrap(err)
	case connect.CodeFailedPrecondition, connect.CodeAlreadyExists:
		return errConflict.Wrap(err)
	case connect.CodeInvalidArgument, connect.CodeNotFound, connect.CodeUnimplemented:
		return err
	}
	return nil
}

// answer is the response of one control instance, or the error of the call.
type answer[T any] struct {
	address string
	value   T
	err     error
}

// callAll calls f once for each control instance, concurrently.
func callAll[T any](c *connection, f func(ctx context.Context, client operatorClient) (T, error)) ([]answer[T], error) {
	list, err := c.instances()
	if err != nil {
		return nil, err
	}
	answers := make([]answer[T], len(list))
	var wg sync.WaitGroup
	for i, in := range list {
		wg.Go(func() {
			value, err := attempt(c.baseContext(), in, attemptTimeout, f)
			answers[i] = answer[T]{in.address, value, err}
		})
	}
	wg.Wait()
	return answers, nil
}
