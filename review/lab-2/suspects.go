package main

import (
	"context"
	"fmt"
	"time"
)

func init() {
	scenarios["gang-waits"] = scenario{prepare: gangConfig, play: gangWaits}
}

// gangConfig is a deployment with a service of eight machines and a spare pool of eight that are off.
func gangConfig(c *cluster) string {
	c.platform.add(deskPool, 8, 32000, true)
	c.platform.add(sparePool, 8, 32000, true)
	c.platform.standby[sparePool] = true
	spare := newService(sparePool)
	spare.Standby = true
	return configText(7, []route{newRoute("r-desk", deskPath, deskPool)}, []service{newService(deskPool), spare}, []tenant{newTenant("lab-1", labKey)})
}

const (
	soundJobs    = 57
	hopelessJobs = 3 // one in twenty
)

// gangWaits hands in a job of eight tasks that last, one on each minion, and sixty short jobs, of which the last three can never be done.
// Then it hands in a job of one gang, and nothing else. Without trouble all sixty short jobs are sound.
func gangWaits(ctx context.Context, c *cluster, trouble bool) error {
	const lasting, job = deskPath + "0a1b2c3d4e5f6071", deskPath + "77aa01f2c3d4e5f6"
	pause(ctx, 4*time.Second)
	if err := c.submit(ctx, labKey, lasting, jobText(work{CPU: []int64{2000}, MS: []int64{0}, Startup: 300},
		phase{Count: 8, CPU: 2000, MemMB: 512, EstimateMS: 900, LongRunning: true, AntiAffinity: 1})); err != nil {
		return err
	}
	pause(ctx, 8*time.Second)
	sound := work{CPU: []int64{1800}, MS: []int64{100}}
	hopeless := sound
	if trouble {
		hopeless.Fails = true
	}
	last := ""
	for i := range soundJobs + hopelessJobs {
		spec := sound
		if i >= soundJobs {
			spec = hopeless
		}
		last = fmt.Sprintf("%s%016x", deskPath, 0x5c0e7a21d94b0000+i)
		if err := c.submit(ctx, labKey, last, jobText(spec, phase{Count: 6, CPU: 1800, MemMB: 512, EstimateMS: 100})); err != nil {
			return err
		}
		if i >= soundJobs {
			pause(ctx, 900*time.Millisecond)
		}
	}
	pause(ctx, 4*time.Second)
	state, status := c.state(ctx, 0, labKey, last)
	c.rec.add("client: GET %s -> %d %s", last, status, state)
	if want := map[bool]string{true: "failed", false: "completed"}[trouble]; state != want {
		return fmt.Errorf("the last of the short jobs is %q", state)
	}
	gang := work{CPU: []int64{8000}, MS: []int64{1000}, Gang: 12}
	if err := c.submit(ctx, labKey, job, jobText(gang, phase{Count: 12, CPU: 8000, MemMB: 512, EstimateMS: 1000, Gang: true})); err != nil {
		return err
	}
	began := time.Now()
	for time.Since(began) < 30*time.Second && ctx.Err() == nil {
		pause(ctx, time.Second)
		if state, status = c.state(ctx, 0, labKey, job); state == "completed" {
			c.rec.add("client: GET %s -> %d %s", job, status, state)
			return nil
		}
	}
	c.rec.add("client: GET %s -> %d %s", job, status, state)
	c.platform.mu.Lock()
	for _, m := range c.platform.machines {
		c.rec.add("machine %s is in pool %s, %s", m.name, m.pool, m.state)
	}
	c.platform.mu.Unlock()
	c.rec.breaks("LOST: job %s is %s %.0f s after it was accepted, and nothing of it has run; it takes 96 cores for 1 s, and the minions of the service have over 240 free",
		job, state, time.Since(began).Seconds())
	return ctx.Err()
}
