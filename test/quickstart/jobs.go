package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	jobCount   = 12
	jobTimeout = 10 * time.Second
)

// runJobs submits each job twice with the same idempotency key, through two entries, and waits until all jobs are done.
func (s *scenario) runJobs() error {
	ids := make(map[string]bool)
	for i := range jobCount {
		for repeat := range 2 {
			id, err := s.submitJob(i, repeat)
			if err != nil {
				return err
			}
			ids[id] = true
		}
	}
	if len(ids) != jobCount {
		return fmt.Errorf("%d jobs were created for %d idempotency keys", len(ids), jobCount)
	}
	for id := range ids {
		if err := await(jobTimeout, func() bool { return s.jobState(id) == "done" }); err != nil {
			return fmt.Errorf("job %s is %s: %w", id, s.jobState(id), err)
		}
	}
	return s.countJobStarts()
}

// jobRequest sends a request to the jobs API of an entry.
func (s *scenario) jobRequest(entry int, method, path, key, body string) (*http.Response, error) {
	address := s.fleet.entries[entry%len(s.fleet.entries)].Public
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+demoKey("altiplano"))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return http.DefaultClient.Do(req)
}

func (s *scenario) submitJob(i, repeat int) (id string, err error) {
	body := fmt.Sprintf(`{"pool":"refund","command":"seconds=0.2&n=%d","milli_cpu":500,"seconds":1}`, i)
	resp, err := s.jobRequest(i+repeat, http.MethodPost, "/v1/jobs", fmt.Sprintf("archive-%d", i), body)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	var job struct {
		ID     string `json:"id"`
		Detail string `json:"detail"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&job); err != nil {
		return "", err
	}
	if resp.StatusCode != http.StatusAccepted {
		return "", fmt.Errorf("submission of job %d was answered with %s: %s", i, resp.Status, job.Detail)
	}
	return job.ID, nil
}

func (s *scenario) jobState(id string) string {
	resp, err := s.jobRequest(len(id), http.MethodGet, "/v1/jobs/"+id, "", "")
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	var job struct {
		State string `json:"state"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&job); err != nil {
		return err.Error()
	}
	return job.State
}

// countJobStarts reads from the platforms how often each job was really started.
func (s *scenario) countJobStarts() error {
	for _, n := range s.fleet.standins {
		resp, err := http.Get("http://" + n.Public + "/standin/starts")
		if err != nil {
			return err
		}
		var starts map[string]int
		err = json.NewDecoder(resp.Body).Decode(&starts)
		resp.Body.Close()
		if err != nil {
			return err
		}
		for _, count := range starts {
			s.jobStarts += count
			s.maxJobRuns = max(s.maxJobRuns, count)
		}
	}
	return nil
}
