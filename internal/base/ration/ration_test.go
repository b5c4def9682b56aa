package ration

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

// TestOneSourceHasAPart guards against a faulty upstream that takes all of the ration, so
// that the callers of sound ones are refused.
func TestOneSourceHasAPart(t *testing.T) {
	const total = 64 << 20
	r := New(total, 1<<20)
	var holds []*Hold
	for range 1000 {
		h := r.Hold("faulty")
		h.Grow(1 << 20)
		holds = append(holds, h)
	}
	must.LessEq(t, total/4, r.Taken())
	must.Greater(t, total/8, r.Taken())
	for i := range 3 {
		must.True(t, r.Hold(fmt.Sprint(i)).Grow(1<<20))
	}
	must.True(t, r.Hold("faulty").Grow(Free), must.Sprint("small bodies ask for nothing"))
	for _, h := range holds {
		h.Release()
		h.Release()
	}
	must.True(t, r.Hold("faulty").Grow(1<<20))
}

// TestLargestBodyFits guards against a small host that refuses the largest body of an
// upstream although nothing else takes memory.
func TestLargestBodyFits(t *testing.T) {
	r := New(20<<20, 16<<20)
	h := r.Hold("u")
	for n := 0; n <= 16<<20; n += 1 << 10 {
		must.True(t, h.Grow(n))
	}
}

// TestSumIsBounded guards against a sum that drifts from what is held, or exceeds its bound.
func TestSumIsBounded(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	const total = 8 << 20
	r := New(total, 1<<20)
	holds := map[int]*Hold{}
	for i := range 20000 {
		id := rng.IntN(50)
		h := holds[id]
		if h == nil {
			h = r.Hold(fmt.Sprint("u", rng.IntN(5)))
			holds[id] = h
		}
		h.Grow(rng.IntN(2 << 20))
		sum := 0
		for _, h := range holds {
			sum += h.bytes
		}
		must.Eq(t, sum, r.Taken())
		must.LessEq(t, total, sum)
		if i%3 == 0 {
			h.Release()
			delete(holds, id)
		}
	}
	for _, h := range holds {
		h.Release()
	}
	must.Eq(t, 0, r.Taken())
	must.MapEmpty(t, r.bySource)
}
