package route

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestPrefixesAreBounded guards against hints that grow with every prompt, and against
// a prefix in use whose hint is lost to prompts that are sent once.
func TestPrefixesAreBounded(t *testing.T) {
	const limit, used = 64, 1
	c := prefixCache{limit: limit}
	u, at := &upstream{}, time.Unix(0, 0)
	for i := range uint64(100 * limit) {
		c.put(used+1+i, u, at)
		if i%(limit/4) == 0 {
			c.put(used, u, at)
		}
		must.LessEq(t, limit, len(c.cur)+len(c.old))
		_, ok := c.get(used)
		must.True(t, ok)
	}
}
