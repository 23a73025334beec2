package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

func init() {
	scenarios["clock-steps-back"] = scenario{prepare: deskConfig, play: clockStepsBack}
}

const (
	clockAhead  = 1500 * time.Millisecond
	firstLife   = 700 * time.Millisecond
	restartTime = 200 * time.Millisecond
)

// clockStepsBack lets a minion start while the clock of its machine is ahead, crash, and start again under its id once the clock is
// right. Without trouble the clock is right all the time.
func clockStepsBack(ctx context.Context, c *cluster, trouble bool) error {
	const job = "5c0e7a21d94b36f8"
	pause(ctx, 4*time.Second)
	machines := c.platform.machinesOf(deskPool)
	first := machines[0]
	c.platform.mu.Lock()
	old := first.minion
	first.minion = nil
	c.platform.mu.Unlock()
	old.crash("crash")
	// Each task takes up a whole minion, so that the one that starts gets the eighth.
	if err := c.submit(ctx, labKey, deskPath+job, jobText(work{CPU: []int64{32000}, MS: []int64{3000}}, phase{Count: 8, CPU: 32000, MemMB: 512, EstimateMS: 3000})); err != nil {
		return err
	}
	pause(ctx, 500*time.Millisecond)
	id, born := "i-01-5", time.Now().UnixMilli()
	if trouble {
		born += clockAhead.Milliseconds()
		c.rec.add("the clock of machine %s is %v ahead", first.name, clockAhead)
	}
	c.platform.mu.Lock()
	err := c.platform.boot(first, id, born)
	minion := first.minion
	c.platform.mu.Unlock()
	if err != nil {
		return err
	}
	pause(ctx, firstLife)
	running := 0
	for _, task := range c.running() {
		if strings.HasPrefix(task, job) {
			running++
		}
	}
	minion.crash("crash")
	pause(ctx, restartTime)
	c.rec.add("the clock of machine %s is right", first.name)
	c.platform.mu.Lock()
	err = c.platform.boot(first, id, 0)
	c.platform.mu.Unlock()
	if err != nil {
		return err
	}
	c.rec.add("%d tasks ran", running)
	pause(ctx, 25*time.Second)
	state, status := c.state(ctx, 0, labKey, deskPath+job)
	c.rec.add("client: GET %s -> %d %s", deskPath+job, status, state)
	if status != 200 {
		return fmt.Errorf("GET is answered with %d", status)
	}
	if state != "completed" {
		c.rec.breaks("LOST: job %s is %s after 25 s; its tasks take 3 s, nothing of it runs (%v), and all minions are idle", job, state, c.running())
	}
	return ctx.Err()
}
