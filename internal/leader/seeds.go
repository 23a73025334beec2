package leader

import (
	"slices"
	"time"
)

// seedReadInterval is the least time between reads of the seeds.
const seedReadInterval = time.Second

// ReadSeedsWith sets a function that reads the seed addresses anew. It is called at most once in seedReadInterval, and only
// while no leader is found: all seeds may be gone. It must be set before the client is used.
func (c *Client) ReadSeedsWith(read func() ([]string, error)) { c.readSeeds = read }

// Seeds returns the seed addresses.
func (c *Client) Seeds() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.seeds)
}

// RefreshSeeds reads the seeds anew, unless that was done within seedReadInterval.
func (c *Client) RefreshSeeds() {
	c.mu.Lock()
	due := c.readSeeds != nil && time.Since(c.seedsReadAt) >= seedReadInterval
	if due {
		c.seedsReadAt = time.Now()
	}
	c.mu.Unlock()
	if !due {
		return
	}
	seeds, err := c.readSeeds()
	if err != nil || len(seeds) == 0 {
		c.log.Warn("seeds cannot be read anew", "error", err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.Equal(seeds, c.seeds) {
		c.log.Info("seeds changed", "before", c.seeds, "after", seeds)
		c.seeds = seeds
	}
}

// SetSeeds replaces the seed addresses after the settings were reloaded.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}
