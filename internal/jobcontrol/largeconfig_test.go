package jobcontrol

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/version/accepted"
)

// Guards against a large configuration that an instance that doesn't lead can't hand in or read back, before or after the log takes
// chunks, and against one that is lost when all instances restart.
func TestLargeConfigurationAtEachInstance(t *testing.T) {
	c := newCluster(t, nil)
	var config *accepted.Config
	for version := range int64(2 * founders) {
		if version == founders {
			c.waitUntil(func() bool { return c.log.has("format of the log raised") })
		}
		config = largeConfig(version + 1)
		_, ok := c.tryUntil(int(version)%founders, http.MethodPut, config.Raw)
		must.True(t, ok)
		c.checkReadsBack(config, 0, 1, 2)
	}
	must.Positive(t, c.log.count("configuration chunks staged"))
	for _, stop := range c.stop[:founders] {
		stop()
	}
	for i := range founders {
		c.start(i, false)
	}
	c.waitUntil(func() bool { return c.log.count("leadership begins") > 1 })
	c.checkReadsBack(config, 0, 1, 2)
}
