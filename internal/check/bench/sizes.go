package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/azurespan/azurespan/declare"
)

const nanosPerSecond = 1e9

// Physical constants of the simulated engines and daemons (design).
const (
	gib                      = 1 << 30
	engineMemoryBytes        = 80 * gib
	engineSequences          = 8
	engineAccelerators       = 4
	kvCacheBytes             = 8 * gib
	loadOverhead             = 500 * time.Millisecond
	unloadTime               = 300 * time.Millisecond
	logAppendTime            = 20 * time.Millisecond
	prefillTime              = 250 * time.Millisecond
	adapterLoadTime          = 10 * time.Millisecond
	adapterSlots             = 4
	tokenInterval            = 30 * time.Millisecond // of a sequence that runs alone
	tokenIntervalPerSequence = 4 * time.Millisecond  // added by each concurrent sequence
	hostListDelay            = 30 * time.Second      // until a lost host leaves the host list
	lossDetectionDelay       = time.Second           // until all daemons know that an engine is lost
	keepAlive                = 10 * time.Minute      // of the policy fixed-keep-alive
	hostMemoryCheckpoints    = 2                     // unloaded models kept in host memory
)

// Tiers in which a checkpoint may lie, from nearest to farthest.
const (
	tierHostMemory = iota
	tierDisk
	tierRemote
)

// tierBytesPerSecond is the load rate by tier.
var tierBytesPerSecond = [3]float64{20e9, 4e9, 1e9}

// Parameters of the fleets that newFleet draws.
const (
	fleetStream       = 100 // of the random generator
	busiestModels     = 4   // that may have maxReplicaLimit replicas
	maxReplicaLimit   = 4
	otherReplicaLimit = 2
	remoteOnlyShare   = 0.4 // of the models
	// On an engine, a checkpoint that is not remote only lies in host memory
	// with the first probability and in host memory or on disk with the second.
	hostMemoryShare       = 0.05
	hostMemoryOrDiskShare = 0.30
)

type (
	// Deployment describes one of the deployments.
	Deployment struct {
		Name     string
		Domains  []string
		Daemons  int
		Engines  int
		Models   int
		Adapters int
		// ColdStartWeight is the setting cold-start-weight.
		ColdStartWeight float64
		// Latency is the one-way latency between failure domains.
		Latency time.Duration
	}

	// modelSpec is a model with the size of its checkpoint and the engine memory
	// that a replica occupies.
	modelSpec struct {
		declare.Model
		weightBytes, memoryBytes int64
	}

	// fleetSpec is the initial state that all policies start from.
	fleetSpec struct {
		deployment Deployment
		models     []modelSpec
		// tiers[engine][model] is the initial tier of the checkpoint.
		tiers [][]uint8
	}
)

// Deployments returns the two deployments (design.md section 1.3). The cold start
// weights are a design choice: the Cooperative gives more weight to idle
// accelerator hours, Kawabata to cold starts.
func Deployments() []Deployment {
	return []Deployment{
		{"cooperative", []string{"yeongcheon", "gyeongsan", "cheongdo"}, 4, 12, 40, 77, 0.1, 500 * time.Microsecond},
		{"kawabata", []string{"fukuoka-a", "kumamoto-b", "kagoshima-c"}, 4, 12, 25, 77, 0.95, 1500 * time.Microsecond},
	}
}

// newFleet draws model sizes and checkpoint tiers. Four in ten models are remote
// only. On each engine, a checkpoint of the others is in host memory with a
// probability of 5%, on disk with 25%, and remote otherwise.
func newFleet(d Deployment, seed uint64) *fleetSpec {
	rng := rand.New(rand.NewPCG(seed, fleetStream))
	weightsGiB := []int{4, 8, 14, 16, 28}
	f := &fleetSpec{deployment: d}
	for i := range d.Models {
		w := int64(weightsGiB[rng.IntN(len(weightsGiB))]) * gib
		limit := otherReplicaLimit
		if i < busiestModels {
			limit = maxReplicaLimit
		}
		m := modelSpec{Model: declare.Model{Name: fmt.Sprintf("model-%02d", i), Version: "1", Replicas: limit}, weightBytes: w, memoryBytes: w + kvCacheBytes}
		f.models = append(f.models, m)
	}
	remote := make([]bool, d.Models)
	for i := range remote {
		remote[i] = rng.Float64() < remoteOnlyShare
	}
	for range d.Engines {
		tiers := make([]uint8, d.Models)
		for i := range tiers {
			switch p := rng.Float64(); {
			case remote[i]:
				tiers[i] = tierRemote
			case p < hostMemoryShare:
				tiers[i] = tierHostMemory
			case p < hostMemoryOrDiskShare:
				tiers[i] = tierDisk
			default:
				tiers[i] = tierRemote
			}
		}
		f.tiers = append(f.tiers, tiers)
	}
	return f
}

// loadTime returns the time of an undisturbed load from a tier.
func loadTime(tier uint8, weightBytes int64) time.Duration {
	return loadOverhead + time.Duration(float64(weightBytes)/tierBytesPerSecond[tier]*nanosPerSecond)
}
