package main

import (
	"context"
	"fmt"
	"time"
)

func init() {
	scenarios["route-renamed"] = scenario{prepare: deskConfig, play: routeRenamed}
}

const visibleTime = 3 * time.Second

// routeRenamed hands in jobs and then sends a configuration in which the route at the same host and prefix, to the same service, has
// another name. Without trouble the configuration changes the route's time-out only.
func routeRenamed(ctx context.Context, c *cluster, trouble bool) error {
	const first, second = deskPath + "5c0e7a21d94b36f8", deskPath + "77aa01f2c3d4e5f6"
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
	return ctx.Err()
}
