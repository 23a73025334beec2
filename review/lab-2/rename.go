package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

func init() {
	scenarios["route-renamed"] = scenario{prepare: deskConfig, play: routeRenamed}
}

// Bounds of the deployment: visible_ms, and cancel_ms with stop_timeout_ms.
const (
	visibleTime = 3 * time.Second
	cancelTime  = 3900 * time.Millisecond
)

// routeRenamed hands in jobs and then sends a configuration in which the route at the same host and prefix, to the same service, has
// another name. Without trouble the configuration changes the route's time-out only.
func routeRenamed(ctx context.Context, c *cluster, trouble bool) error {
	const first, second, lasting = deskPath + "5c0e7a21d94b36f8", deskPath + "77aa01f2c3d4e5f6", "0a1b2c3d4e5f6071"
	pause(ctx, 4*time.Second)
	spec := work{CPU: []int64{1000, 1000}, MS: []int64{1500, 1500}}
	body := jobText(spec, phase{Count: 4, CPU: 1000, MemMB: 512, EstimateMS: 1500}, phase{Count: 2, CPU: 1000, MemMB: 512, EstimateMS: 1500, After: []int{0}})
	short := jobText(work{CPU: []int64{1000}, MS: []int64{200}}, phase{Count: 2, CPU: 1000, MemMB: 512, EstimateMS: 200})
	if err := c.submit(ctx, labKey, first, short); err != nil {
		return err
	}
	pause(ctx, time.Second)
	state, status := c.state(ctx, 0, labKey, first)
	c.rec.add("client: GET %s -> %d %s", first, status, state)
	if state != "completed" {
		return fmt.Errorf("the first job is %q (%d)", state, status)
	}
	if err := c.submit(ctx, labKey, deskPath+lasting, jobText(work{CPU: []int64{1000}, MS: []int64{0}},
		phase{Count: 2, CPU: 1000, MemMB: 512, EstimateMS: 900, LongRunning: true})); err != nil {
		return err
	}
	if err := c.submit(ctx, labKey, second, body); err != nil {
		return err
	}
	accepted := time.Now()
	pause(ctx, 500*time.Millisecond)
	renamed := newRoute("r-desk", deskPath, deskPool)
	if trouble {
		renamed.Name = "r-release"
	} else {
		renamed.TimeoutMS = 2500
	}
	text := configText(12, []route{renamed}, []service{newService(deskPool)}, []tenant{newTenant("lab-1", labKey)})
	for i := 0; ; i++ {
		status := c.putConfig(ctx, i%controlCount, text)
		c.rec.add("operator: PUT version 12, route %s at %s%s -> %d", renamed.Name, renamed.Host, renamed.PathPrefix, status)
		if status == 200 {
			break
		}
		if status >= 400 && status < 500 || ctx.Err() != nil {
			return fmt.Errorf("version 12 is answered with %d", status)
		}
		pause(ctx, 300*time.Millisecond)
	}
	pause(ctx, 20*time.Second)
	for i, path := range []string{first, second} {
		state, status := c.state(ctx, i, labKey, path)
		c.rec.add("client: GET %s -> %d %s", path, status, state)
		switch {
		case status == 410 && time.Since(accepted) > visibleTime:
			c.rec.breaks("LOST: GET for the accepted job %s, which nobody has cancelled, is answered with 410", path)
		case status != 200:
			return fmt.Errorf("GET %s is answered with %d", path, status)
		case state != "completed":
			c.rec.breaks("LOST: job %s is %s after 20 s on idle minions; its tasks take 3 s", path, state)
		}
	}
	if status := c.cancelJob(ctx, 0, labKey, deskPath+lasting); status != 200 && status != 410 {
		return fmt.Errorf("the cancelling of the lasting job is answered with %d", status)
	}
	pause(ctx, cancelTime+time.Second)
	for _, task := range c.running() {
		if strings.HasPrefix(task, lasting) {
			c.rec.breaks("UNASKED: task %s runs on %v after the cancelling of its job was acknowledged", task, cancelTime+time.Second)
		}
	}
	return ctx.Err()
}
