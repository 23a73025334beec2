package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"
)

func init() {
	scenarios["label-moved"] = scenario{prepare: labelConfig, play: labelMoved}
}

// labelConfig is a deployment with a service of eight machines, of which m-05 to m-07 are of kind b, and a spare pool of machines that
// are off.
func labelConfig(c *cluster) string {
	c.platform.add(deskPool, 8, 32000, true)
	for _, m := range c.platform.machines {
		if m.number >= 4 && m.number <= 6 {
			m.kind = "b"
		}
	}
	c.platform.add(sparePool, 4, 32000, true)
	c.platform.standby[sparePool] = true
	spare := newService(sparePool)
	spare.Standby = true
	return configText(7, []route{newRoute("r-desk", deskPath, deskPool)}, []service{newService(deskPool), spare}, []tenant{newTenant("lab-1", labKey)})
}

const sparePool = "tenant-admin"

// labelMoved hands in a job of one task that lasts and needs a machine of kind b. While the service is idle otherwise, its other machines
// go to the spare pool. Then the minion of the task is lost for good.
func labelMoved(ctx context.Context, c *cluster, trouble bool) error {
	const job = "5c0e7a21d94b36f8"
	pause(ctx, 4*time.Second)
	if err := c.submit(ctx, labKey, deskPath+job, jobText(work{CPU: []int64{2000}, MS: []int64{0}, Startup: 300},
		phase{Count: 1, CPU: 2000, MemMB: 512, EstimateMS: 900, LongRunning: true, Constraints: "b"})); err != nil {
		return err
	}
	pause(ctx, 12*time.Second)
	var host *machine
	c.platform.mu.Lock()
	for _, m := range c.platform.machines {
		c.rec.add("machine %s of kind %s is in pool %s, %s", m.name, m.kind, m.pool, m.state)
		if m.minion == nil {
			continue
		}
		m.minion.mu.Lock()
		for task := range m.minion.running {
			if strings.HasPrefix(task, job) {
				host = m
			}
		}
		m.minion.mu.Unlock()
	}
	c.platform.mu.Unlock()
	if host == nil {
		return fmt.Errorf("the task doesn't run")
	}
	if trouble {
		c.platform.lose(host)
	}
	c.watchLasting(ctx, job, 1, 16*time.Second)
	c.platform.mu.Lock()
	for _, m := range c.platform.machines {
		c.rec.add("machine %s of kind %s is in pool %s, %s", m.name, m.kind, m.pool, m.state)
	}
	c.platform.mu.Unlock()
	if !trouble && !slices.ContainsFunc(c.running(), func(task string) bool { return strings.HasPrefix(task, job) }) {
		return fmt.Errorf("the task doesn't run")
	}
	return ctx.Err()
}
