package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"syscall"
	"time"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	// Timeout bounds one request to the platform.
	Timeout          = 3 * time.Second
	maxResponseBytes = 16 << 20
)

// RenewRequest is the body of POST /v1/leases.
type RenewRequest struct {
	IDs     []string `json:"ids"`
	LeaseMS int64    `json:"lease_ms"`
}

// RenewResponse is the response body of POST /v1/leases.
type RenewResponse struct {
	Tasks []TaskReport `json:"tasks"`
}

// DrainRequest is the body of PUT /v1/instances/{instance}/drain.
type DrainRequest struct {
	On bool `json:"on"`
}

// HTTPClient implements Client over the platform's HTTP API. It is safe for concurrent use.
type HTTPClient struct {
	base string
	key  string
	http *http.Client
}

// NewHTTPClient returns a client of the platform at address, an IP:port. key is sent as the bearer token.
func NewHTTPClient(address, key string) *HTTPClient {
	return &HTTPClient{base: "http://" + address, key: key, http: &http.Client{Timeout: Timeout}}
}

// Start implements Client.
func (c *HTTPClient) Start(ctx context.Context, t *Task) error {
	return c.call(ctx, http.MethodPut, taskPath(t.ID, ""), t, nil)
}

// Renew implements Client.
func (c *HTTPClient) Renew(ctx context.Context, ids []string, leaseMS int64) ([]TaskReport, error) {
	var answer RenewResponse
	err := c.call(ctx, http.MethodPost, "/v1/leases", &RenewRequest{IDs: ids, LeaseMS: leaseMS}, &answer)
	return answer.Tasks, err
}

// Checkpoint implements Client.
func (c *HTTPClient) Checkpoint(ctx context.Context, id string) error {
	return c.call(ctx, http.MethodPost, taskPath(id, "/checkpoint"), nil, nil)
}

// Throttle implements Client.
func (c *HTTPClient) Throttle(ctx context.Context, id string, size *laburnumv1.Resources) error {
	return c.call(ctx, http.MethodPut, taskPath(id, "/throttle"), size, nil)
}

// Stop implements Client.
func (c *HTTPClient) Stop(ctx context.Context, id string) error {
	return c.call(ctx, http.MethodDelete, taskPath(id, ""), nil, nil)
}

// Drain implements Client.
func (c *HTTPClient) Drain(ctx context.Context, instance string, on bool) error {
	return c.call(ctx, http.MethodPut, "/v1/instances/"+url.PathEscape(instance)+"/drain", &DrainRequest{On: on}, nil)
}

// Reboot implements Client.
func (c *HTTPClient) Reboot(ctx context.Context, instance, id string) error {
	return c.call(ctx, http.MethodPut, "/v1/instances/"+url.PathEscape(instance)+"/reboots/"+url.PathEscape(id), nil, nil)
}

func taskPath(id, rest string) string { return "/v1/tasks/" + url.PathEscape(id) + rest }

// call sends one request and decodes the response into out unless out is nil.
func (c *HTTPClient) call(ctx context.Context, method, path string, in, out any) error {
	var body bytes.Buffer
	if in != nil {
		if err := json.NewEncoder(&body).Encode(in); err != nil {
			return Error.Wrap(err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, &body)
	if err != nil {
		return Error.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := c.http.Do(req)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return ErrUnreachable.Wrap(err)
	}
	if err != nil {
		return ErrUncertain.Wrap(err)
	}
	defer resp.Body.Close()
	return readResponse(resp, out)
}

// readResponse maps the status to the errors of this package: after 4xx the request had no effect, after 3xx and 5xx it may
// have had one.
func readResponse(resp *http.Response, out any) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return ErrUncertain.Wrap(err)
	}
	switch {
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		return ErrRefused.New("%s: %s", resp.Status, bytes.TrimSpace(data))
	case resp.StatusCode >= 300:
		return ErrUncertain.New("%s", resp.Status)
	case out == nil:
		return nil
	}
	return Error.Wrap(json.Unmarshal(data, out))
}
