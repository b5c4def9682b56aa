package hub

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// TestBulkOfTheLargestFleet plays the load of a fleet that starts at the size
// designed for: 320 daemons ask for the content of 600 engines, over the
// slowest link of the deployments' sheets, and have it within the 14 s before
// traffic starts.
func TestBulkOfTheLargestFleet(t *testing.T) {
	const (
		daemons, engines = 320, 600
		linkBytes        = 23e6 / 8
		seconds          = 14
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
	must.Less(t, linkBytes*seconds/daemons/2, float64(len(b)))
	got, err := b.Unpack()
	must.NoError(t, err)
	must.Eq(t, copies, got)
	_, err = b[:len(b)/2].Unpack()
	must.Error(t, err)
}
