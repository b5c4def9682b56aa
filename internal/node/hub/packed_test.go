package hub

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// TestPackedSizeAtLargestFleet guards against a start of the largest supported
// fleet that isn't done before traffic starts: 320 daemons request the contents
// of 600 engines over the slowest link of the deployments' sheets, and must have
// them within 14 s.
func TestPackedSizeAtLargestFleet(t *testing.T) {
	const (
		daemons, engines = 320, 600
		linkBytesPerSec  = 23e6 / 8
		startSeconds     = 14
	)
	var copies []fleet.Inventory
	for i := range engines {
		c := fleet.Inventory{ID: fmt.Sprintf("i-%010x", i*7919), Born: 1796365247185 + int64(i), Rev: uint64(i)}
		for j := range 4 {
			h := fleet.LoadedModel{Model: fmt.Sprintf("mo%x", (i*31+j*17)%260), Version: 1}
			for a := range 2 {
				h.Adapters = append(h.Adapters, fmt.Sprint("a", a))
			}
			c.Held = append(c.Held, h)
		}
		copies = append(copies, c)
	}
	b, err := Pack(copies)
	must.NoError(t, err)
	// Half of the link is left for the register and the engines' reports.
	must.Less(t, linkBytesPerSec*startSeconds/daemons/2, float64(len(b)))
	got, err := b.Unpack()
	must.NoError(t, err)
	must.Eq(t, copies, got)
	_, err = b[:len(b)/2].Unpack()
	must.Error(t, err)
}
