package queue

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

func at(s float64) time.Time { return time.Unix(0, int64(s*float64(time.Second))) }

func item(id uint64, model string, rank int, aim, due float64) *Item {
	return &Item{ID: id, Key: fleet.Key{Model: model}, Rank: rank, TargetStart: at(aim), LatestStart: at(due)}
}

// order serves all requests one by one and returns their ids.
func order(l *Queue, now time.Time) (ids []uint64) {
	for l.Len() > 0 {
		served := false
		l.Dispatch(now, func(it *Item) bool {
			if served {
				return false
			}
			served = true
			ids = append(ids, it.ID)
			return true
		})
	}
	return ids
}

// TestOverloadServesThePunctualFirst answers the pattern of a model whose
// copies are full: in the order of arrival every request would start late.
func TestOverloadServesThePunctualFirst(t *testing.T) {
	l := New()
	l.Add(item(1, "m", 0, 1, 30))
	l.Add(item(2, "m", 0, 2, 31))
	l.Add(item(3, "m", 0, 9, 38))
	l.Add(item(4, "m", 0, 10, 39))
	must.Eq(t, []uint64{3, 4, 1, 2}, order(l, at(5)))
}

// TestRankGoesFirstAmongThePunctual guards against urgent requests behind less
// urgent ones of the same model.
func TestRankGoesFirstAmongThePunctual(t *testing.T) {
	l := New()
	l.Add(item(1, "m", 2, 9, 20))
	l.Add(item(2, "m", 0, 9, 30))
	l.Add(item(3, "m", 1, 9, 10))
	must.Eq(t, []uint64{2, 3, 1}, order(l, at(5)))
}

// TestLateRequestsAreNotStarved answers a lasting overload: those whose last
// moment is near take every second place.
func TestLateRequestsAreNotStarved(t *testing.T) {
	l := New()
	l.Add(item(1, "a", 0, 1, 6))
	l.Add(item(2, "b", 0, 1, 6.5))
	for i := range uint64(4) {
		l.Add(item(10+i, "c", 0, 20, 40))
	}
	ids := order(l, at(5))
	must.Eq(t, []uint64{10, 1, 11, 2, 12, 13}, ids)
}

// TestDeclinedKeyIsNotAskedAgain guards against a scan of all engines for each
// of hundreds of requests that wait for the same model.
func TestDeclinedKeyIsNotAskedAgain(t *testing.T) {
	l := New()
	for i := range uint64(100) {
		l.Add(item(i, "m", 0, 9, 20))
	}
	l.Add(item(200, "other", 0, 9, 30))
	asked := 0
	l.Dispatch(at(1), func(it *Item) bool {
		asked++
		return it.Key.Model == "other"
	})
	must.Eq(t, 2, asked)
	must.Eq(t, 100, l.Len())
}

// TestRemove guards against a caller who has left and is served all the same.
func TestRemove(t *testing.T) {
	l := New()
	l.Add(item(1, "m", 0, 9, 20))
	must.True(t, l.Remove(1))
	must.False(t, l.Remove(1))
	must.Eq(t, 0, l.Len())
}
