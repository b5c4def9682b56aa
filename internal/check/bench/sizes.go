package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/azurespan/azurespan/declare"
)

// Physical constants of the fakes (design).
const (
	gb           = 1 << 30
	engineMemory = 80 * gb
	sequences    = 8
	accelerators = 4
	kvBytes      = 8 * gb
	loadStart    = 500 * time.Millisecond
	unloadTime   = 300 * time.Millisecond
	appendTime   = 20 * time.Millisecond
	prefill      = 250 * time.Millisecond
	adapterTime  = 10 * time.Millisecond
	adapterSlots = 4
	tokenBase    = 30 * time.Millisecond // between tokens, alone
	tokenMore    = 4 * time.Millisecond  // for each sequence beside it
	hostGone     = 30 * time.Second      // lag of the host list
	detect       = time.Second           // until all daemons know of a loss
	keepAlive    = 10 * time.Minute      // of fixed-keep-alive
)

// tierRate is the load rate by tier (memory, disk, remote) in bytes a second.
var tierRate = [3]float64{20e9, 4e9, 1e9}

type (
	// Size describes one of the deployments.
	Size struct {
		Name     string
		Domains  []string
		Daemons  int
		Engines  int
		Models   int
		Adapters int
		// Weight is the cold-start-weight.
		Weight float64
		// Latency is one way between failure domains.
		Latency time.Duration
	}

	modelSpec struct {
		declare.Model
		weight, bytes int64
	}

	// fleetSpec is what all policies start from.
	fleetSpec struct {
		size   Size
		models []modelSpec
		// tiers[engine][model] is where the checkpoint lies at first.
		tiers [][]uint8
	}
)

// Sizes returns the two deployments (design.md section 1.3). The weights are a
// design choice: the Cooperative gives more weight to idle accelerator hours,
// Kawabata to cold starts.
func Sizes() []Size {
	return []Size{
		{"cooperative", []string{"yeongcheon", "gyeongsan", "cheongdo"}, 4, 12, 40, 77, 0.1, 500 * time.Microsecond},
		{"kawabata", []string{"fukuoka-a", "kumamoto-b", "kagoshima-c"}, 4, 12, 25, 77, 0.95, 1500 * time.Microsecond},
	}
}

// newFleet draws model sizes and the tiers. Four in ten models are remote only;
// a checkpoint of the others is in an engine's host memory with a chance of 5%,
// on its disk with 25%, else remote.
func newFleet(s Size, seed uint64) *fleetSpec {
	rng := rand.New(rand.NewPCG(seed, 100))
	f := &fleetSpec{size: s}
	for i := range s.Models {
		w := int64([]int{4, 8, 14, 16, 28}[rng.IntN(5)]) * gb
		limit := 2
		if i < 4 {
			limit = 4 // the most used ones
		}
		m := modelSpec{Model: declare.Model{Name: fmt.Sprintf("model-%02d", i), Version: "1", Replicas: limit}, weight: w, bytes: w + kvBytes}
		f.models = append(f.models, m)
	}
	remote := make([]bool, s.Models)
	for i := range remote {
		remote[i] = rng.Float64() < 0.4
	}
	for range s.Engines {
		row := make([]uint8, s.Models)
		for i := range row {
			switch p := rng.Float64(); {
			case remote[i]:
				row[i] = 2
			case p < 0.05:
				row[i] = 0
			case p < 0.30:
				row[i] = 1
			default:
				row[i] = 2
			}
		}
		f.tiers = append(f.tiers, row)
	}
	return f
}

func loadTime(tier uint8, weight int64) time.Duration {
	return loadStart + time.Duration(float64(weight)/tierRate[tier]*1e9)
}
