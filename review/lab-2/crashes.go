package main

import (
	"context"
	"fmt"
	"time"
)

const (
	labKey   = "sjnbanfqasnmgkcuyj8p"
	deskPath = "/desk/"
	deskPool = "release-desk"
)

// deskConfig is a deployment with one service of eight minions in two racks.
func deskConfig(c *cluster) string {
	c.platform.add(deskPool, 8, 32000, true)
	return configText(7, []route{newRoute("r-desk", deskPath, deskPool)}, []service{newService(deskPool)}, []tenant{newTenant("lab-1", labKey)})
}

func init() {
	scenarios["rack-crashes"] = scenario{prepare: deskConfig, play: rackCrashes}
}

const (
	crashes       = 5
	crashInterval = 4 * time.Second
	downTime      = 1500 * time.Millisecond
	// calmTime is how long it must have been calm, and absence how long a lasting task must have nothing running, for the rule to be
	// broken; sinceRun is how long its last run must be ago (RULES, LOST).
	calmTime = 4 * time.Second
	absence  = 3 * time.Second
	sinceRun = 6 * time.Second
)

// rackCrashes hands in a job of tasks that last and one of tasks that take 14 s, and lets one of the two racks of the service crash
// several times. Nobody cancels a job, and no run ends as failed.
func rackCrashes(ctx context.Context, c *cluster, trouble bool) error {
	const lasting, long = "5c0e7a21d94b36f8", "77aa01f2c3d4e5f6"
	pause(ctx, 4*time.Second)
	if err := c.submit(ctx, labKey, deskPath+lasting, jobText(work{CPU: []int64{2000}, MS: []int64{0}, Startup: 300},
		phase{Count: 5, CPU: 2000, MemMB: 512, EstimateMS: 900, LongRunning: true, MayMiss: 1})); err != nil {
		return err
	}
	if err := c.submit(ctx, labKey, deskPath+long, jobText(work{CPU: []int64{4000}, MS: []int64{14000}},
		phase{Count: 4, CPU: 4000, MemMB: 512, EstimateMS: 14000})); err != nil {
		return err
	}
	ending, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		c.watchStates(ctx, ending, deskPath+lasting, deskPath+long)
	}()
	pause(ctx, 4*time.Second)
	if trouble {
		machines := c.platform.machinesOf(deskPool)
		for range crashes {
			c.rec.add("the first rack crashes")
			for _, m := range machines[:4] {
				c.platform.crash(m, downTime)
			}
			pause(ctx, crashInterval)
		}
	} else {
		pause(ctx, crashes*crashInterval)
	}
	c.watchLasting(ctx, lasting, 5, 16*time.Second)
	close(ending)
	<-done
	return ctx.Err()
}

// watchStates asks for the states of jobs until ending is closed. None may be shown as failed or cancelled.
func (c *cluster) watchStates(ctx context.Context, ending chan struct{}, paths ...string) {
	reported := make(map[string]string)
	for i := 0; ; i++ {
		for _, path := range paths {
			state, status := c.state(ctx, i, labKey, path)
			if state != reported[path] {
				c.rec.add("client: GET %s -> %d %s", path, status, state)
				if state == "failed" || state == "cancelled" {
					c.rec.breaks("LOST: job %s is shown as %s; nobody cancelled it, and none of its runs ended as failed", path, state)
				}
			}
			reported[path] = state
		}
		select {
		case <-ending:
			return
		case <-time.After(250 * time.Millisecond):
		}
	}
}

// watchLasting watches, for a time after the last disruption, whether each lasting task of a job runs. All minions are up, and nearly
// all of their capacity is free.
func (c *cluster) watchLasting(ctx context.Context, job string, tasks int, span time.Duration) {
	began := time.Now()
	lastRun, reported := make(map[int]time.Time), make(map[int]bool)
	for time.Since(began) < span && ctx.Err() == nil {
		running := make(map[int]bool)
		for _, task := range c.running() {
			for i := range tasks {
				running[i] = running[i] || task == fmt.Sprintf("%s.0.0.%d", job, i)
			}
		}
		now := time.Now()
		for i := range tasks {
			if running[i] || lastRun[i].IsZero() {
				lastRun[i] = now
			}
			if away := now.Sub(lastRun[i]); now.Sub(began) >= calmTime+absence && away >= sinceRun+absence && !reported[i] {
				reported[i] = true
				c.rec.breaks("LOST: task %s.0.0.%d, which lasts, has had nothing running for %.1f s; the minions are idle", job, i, away.Seconds())
			}
		}
		pause(ctx, 50*time.Millisecond)
	}
}

// running returns the tasks that run on any minion.
func (c *cluster) running() (tasks []string) {
	c.platform.mu.Lock()
	defer c.platform.mu.Unlock()
	for _, m := range c.platform.machines {
		if m.minion == nil {
			continue
		}
		m.minion.mu.Lock()
		for task := range m.minion.running {
			tasks = append(tasks, task)
		}
		m.minion.mu.Unlock()
	}
	return tasks
}
