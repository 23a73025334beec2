package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

const (
	testHost   = "lab.example"
	testPrefix = "/check/"
	testKey    = "k3y-of-the-lab-0001"
)

var plainHTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}}

// request sends one request and returns status and body; status 0 means that no answer came.
func request(method, url, host string, header map[string]string, body []byte, limit time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if host != "" {
		r.Host = host
	}
	if len(body) > 0 {
		r.Header.Set("Content-Type", "application/json")
	}
	for k, v := range header {
		r.Header.Set(k, v)
	}
	resp, err := plainHTTP.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// call is a client's call at an entry, which repeats it at the next one until it gets a clear answer or the time is up.
func (c *cluster) call(method, path, key string, body []byte, until time.Duration) (int, []byte) {
	header := map[string]string{"X-Deadline-Ms": "3000"}
	if key != "" {
		header["Authorization"] = "Bearer " + key
	}
	end := time.Now().Add(until)
	for i := 0; ; i++ {
		p := c.entries[i%len(c.entries)]
		status, data := request(method, "http://"+c.frontAddress(p)+path, testHost, header, body, 3*time.Second)
		c.rec.add("client %s %s at %s -> %d %s", method, path, p.name, status, bytes.TrimSpace(data))
		if status != 0 && status != 502 && status != 503 && status != 504 && status != 429 || time.Now().After(end) {
			return status, data
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// submit hands a job in and reports whether it was accepted.
func (c *cluster) submit(prefix, id string, job any) bool {
	body, err := json.Marshal(job)
	if err != nil {
		return false
	}
	status, _ := c.call("POST", prefix+id, testKey, body, 10*time.Second)
	return status >= 200 && status < 300
}

// state asks for a job's state; a status other than 200 is returned instead of a state.
func (c *cluster) state(prefix, id string) (string, int) {
	status, data := c.call("GET", prefix+id, testKey, nil, 3*time.Second)
	var answer struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(data, &answer)
	return answer.State, status
}

// putConfig sends a configuration as the operator does: again, to the next process, until it gets a clear answer.
func (c *cluster) putConfig(config any) error {
	body, err := json.Marshal(config)
	if err != nil {
		return err
	}
	addresses := c.controlAddresses()
	end := time.Now().Add(20 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		at := addresses[i%len(addresses)]
		status, data := request("PUT", "http://"+at+"/laburnumrouter/config", "", nil, body, time.Second)
		c.rec.add("operator PUT config at %s -> %d %s", at, status, bytes.TrimSpace(data))
		if status == 200 {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errNoAnswer
}

type object = map[string]any

// route returns a route of a configuration.
func route(name, prefix, service string, attempts int) object {
	return object{
		"name": name, "host": testHost, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 600,
		"priority": 0, "service": service, "max_attempts": attempts, "slack_factor": 1.6, "public": false,
	}
}

// service returns a service of a configuration.
func service(name string) object {
	return object{"name": name, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "enforces_capacity": true, "standby": false}
}

// configuration returns a complete configuration with one tenant.
func configuration(version int, routes, services []object) object {
	return object{
		"version": version, "routes": routes, "services": services,
		"limits": object{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []object{{
			"name": "lab", "api_keys": []string{testKey}, "priority": 1, "weight": 10, "upper_bound": object{"cpu": 0, "mem_mb": 0, "gpu": 0},
		}},
	}
}
