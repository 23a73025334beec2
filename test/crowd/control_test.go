package crowd

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/platform/outside"
	"laburnumrouter/test/soak/cluster"
)

// Sizes of bodies that control instances read whole: of configurations and of heartbeats.
const configBytes, heartbeatBytes = 4 << 20, 1 << 20

var (
	// smallControl has a part of the memory of the smallest core machine.
	smallControl          = cluster.Limits{MemoryMB: 128, Descriptors: manyDescriptors}
	fewControlDescriptors = cluster.Limits{MemoryMB: 280, Descriptors: 300}
)

// endureJobsControl starts control instances with limits in mode jobs, and checks that one endures n clients that send request
// while operators read the configuration and write it again.
func endureJobsControl(t *testing.T, limits cluster.Limits, n, parallel int, request func(i int) Request) {
	t.Helper()
	c := startJobs(t, cluster.Shape{ControlLimits: limits}).Controls[0]
	g := Target{
		PID: c.PID(), Listeners: []string{c.Listen}, MemoryMB: limits.MemoryMB, Descriptors: limits.Descriptors,
		Ordinary: func(timeout time.Duration) error {
			url := "http://" + c.Listen + outside.PathConfig
			if err := exchange(http.MethodGet, url, nil, timeout, func(*http.Request) {}); err != nil {
				return err
			}
			return putConfig(c.Listen, timeout)
		},
	}
	g.Endure(t, func() *Crowd { return Open(c.Listen, n, parallel, request) }, nil)
}

func configHeader() string { return begin("PUT", outside.PathConfig) }

func heartbeatHeader() string { return begin("PUT", outside.PathInstances+"server-x") }

// Guards against memory that fills with configurations that stop short.
func TestStalledConfigurations(t *testing.T) {
	endureJobsControl(t, smallControl, 100, dialers, always(shortOf(configHeader(), configBytes)))
}

// Guards against memory that fills with heartbeats that stop short.
func TestStalledHeartbeats(t *testing.T) {
	endureJobsControl(t, smallControl, 300, dialers, always(shortOf(heartbeatHeader(), heartbeatBytes)))
}

// Guards against a few clients that hold all that bodies may take up, so that operators' configurations are refused.
func TestStalledConfigurationsThatFillTheBound(t *testing.T) {
	sizes := sizesFilling(smallControl.MemoryMB<<20, configBytes)
	endureJobsControl(t, smallControl, len(sizes), 1, func(i int) Request { return shortOf(configHeader(), sizes[i]) })
}

// sizesFilling returns sizes of bodies that leave no room under any bound below total if they arrive one after the other.
func sizesFilling(total int64, largest int) []int {
	sizes := repeat(largest, int(total)/largest)
	for size := largest / 4; size > 4; size /= 4 {
		sizes = append(sizes, repeat(size, 4)...)
	}
	return sizes
}

// Guards against clients that hold every descriptor with bodies that stop short, also with those that were refused.
func TestMoreStalledHeartbeatsThanDescriptors(t *testing.T) {
	endureJobsControl(t, fewControlDescriptors, 600, dialers, always(shortOf(heartbeatHeader(), bodyBytes)))
}

// Guards against memory that fills with the headers of many streams on few connections.
func TestHeadersOfManyStreamsAtControl(t *testing.T) {
	endureJobsControl(t, smallControl, 30, dialers, always(Request{Body: streams(250, "/laburnumrouter/wave-start", largeField()...)}))
}

// Guards against clients that hold every descriptor with connections that they don't use after one answer, or at all.
func TestMoreIdleConnectionsThanDescriptorsInModeJobs(t *testing.T) {
	endureJobsControl(t, fewControlDescriptors, 600, dialers, func(i int) Request {
		if i%3 == 0 {
			return Request{Header: begin("GET", outside.PathConfig) + "\r\n"}
		}
		return idle(i)
	})
}

// Guards against clients that hold every descriptor with headers that stop short.
func TestMoreStalledHeadersThanDescriptorsAtControl(t *testing.T) {
	endureJobsControl(t, fewControlDescriptors, 600, dialers, always(Request{Header: configHeader()}))
}

// Guards against bounds for crowds that refuse a single large configuration.
func TestLargeConfigurationIsAcknowledgedInCalm(t *testing.T) {
	c := startJobs(t, cluster.Shape{})
	config := outside.Config{Version: 2, Workspace: "north", Keys: []string{key}, Pools: []outside.Pool{{Name: "guarded", Guards: true}}}
	for i := range 14_000 {
		config.Queues = append(config.Queues, outside.Queue{Name: fmt.Sprintf("%s-%030d", queue, i), Host: host, Pool: "guarded", MaxAttempts: 3})
	}
	body, err := config.Encode()
	must.NoError(t, err)
	must.Greater(t, 3<<20, len(body))
	eventually(t, "configuration is acknowledged", func(time.Duration) error {
		return exchange(http.MethodPut, "http://"+c.Controls[0].Listen+outside.PathConfig, body, patience, func(*http.Request) {})
	})
}
