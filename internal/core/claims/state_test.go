package claims

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// keyAt returns a key with the given Unix time in milliseconds and last byte n.
func keyAt(ms int64, n byte) (k Key) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(ms))
	copy(k[:6], b[2:])
	k[15] = n
	return k
}

func id(n byte) ID { return ID{15: n} }

// TestRules applies records that are accepted or rejected by the rules in the
// package comment, with at least one step for each reason.
func TestRules(t *testing.T) {
	const minute = int64(60_000)
	k, d, e := keyAt(100*minute, 1), DigestOf([]byte("a")), DigestOf([]byte("b"))
	claim := func(k Key, d Digest, n byte, epoch uint64) Record {
		return Claim{Key: k, Digest: d, ID: id(n), Daemon: "h/1", Epoch: epoch}
	}
	f := New(Limits{Window: 10 * time.Minute}, 1, 1)
	steps := []struct {
		at   int64
		r    Record
		want Reason
	}{
		{100, claim(k, d, 1, 0), StaleEpoch},
		{100, TakeOwnership{Daemon: "h/1"}, Accepted},
		{100, claim(keyAt(106*minute, 9), d, 9, 2), KeyAhead},
		{100, Withdraw{Key: keyAt(106*minute, 9), ID: id(9)}, KeyAhead},
		{100, claim(keyAt(89*minute, 9), d, 9, 2), KeyExpired},
		{100, claim(k, d, 1, 2), Accepted},
		{100, claim(k, d, 1, 2), Repeated},
		{100, claim(k, d, 2, 2), AlreadyClaimed},
		{100, claim(k, e, 3, 2), DigestMismatch},
		{101, Done{Key: k, ID: id(2)}, NotHolder},
		{101, Withdraw{Key: k, ID: id(1)}, Accepted},
		{101, Withdraw{Key: k, ID: id(1)}, Repeated},
		{101, claim(k, d, 1, 2), Withdrawn},
		{101, TakeOwnership{Daemon: "h/2", Previous: 2}, Accepted},
		{101, claim(k, d, 4, 2), StaleEpoch},
		{101, Withdraw{Key: k, ID: id(5)}, Accepted},
		{101, claim(k, d, 5, 14), Withdrawn},
		{101, claim(k, e, 6, 14), Accepted},
		{102, Done{Key: k, ID: id(6), StoredResponse: StoredResponse{Body: make([]byte, MaxBodyBytes+1)}}, TooLarge},
		{102, Done{Key: k, ID: id(6), StoredResponse: StoredResponse{Status: 200}}, Accepted},
		{102, Done{Key: k, ID: id(6), StoredResponse: StoredResponse{Status: 500}}, AlreadyDone},
		{102, Withdraw{Key: k, ID: id(6)}, AlreadyDone},
		{102, nil, UnknownRecord},
	}
	for i, s := range steps {
		out := f.Apply(nil, uint64(i+1), s.at*minute, s.r)
		must.Eq(t, s.want, out[0].Reason, must.Sprintf("step %d: %+v", i, s.r))
	}
	must.Eq(t, OutOfOrder, f.Apply(nil, 3, 100*minute, TakeOwnership{})[0].Reason)
	must.Eq(t, Result(Finished{ID: id(6), StoredResponse: StoredResponse{Status: 200}}), f.Query(k, e, ID{}))
	must.Eq(t, Result(Mismatch{Final: true}), f.Query(k, d, ID{}))
	c := f.Clone()
	c.Skip(90, 200*minute)
	must.Eq(t, Result(Expired{}), c.Query(k, e, ID{}))
	must.Zero(t, c.Len())
	must.Eq(t, 1, f.Len())
}

// TestCodec guards against a change of the stored format, which would make
// records written earlier unreadable. UPDATE_GOLDEN=1 rewrites the golden file.
func TestCodec(t *testing.T) {
	k := keyAt(1_765_000_000_000, 7)
	rs := []Record{
		TakeOwnership{Daemon: "h1/9", Previous: 3},
		Claim{Key: k, Digest: DigestOf([]byte("a")), ID: id(1), Daemon: "h1/9", Epoch: 4},
		Done{Key: k, ID: id(1), StoredResponse: NewStoredResponse(201, "application/json", []byte(`{"order":7}`))},
		Withdraw{Key: k, ID: id(2)},
	}
	b, err := Encode(rs...)
	must.NoError(t, err)
	const golden = "testdata/batch.json"
	if os.Getenv("UPDATE_GOLDEN") != "" {
		must.NoError(t, os.WriteFile(golden, append(b, '\n'), 0o644))
	}
	want, err := os.ReadFile(golden)
	must.NoError(t, err)
	must.Eq(t, strings.TrimSpace(string(want)), string(b))
	got, err := Decode(nil, b)
	must.NoError(t, err)
	must.Eq(t, rs, got)
	for _, bad := range []string{"", "{}", `[{"type":"x"}]`, `[{"type":"claim","body":{"key":"1"}}]`} {
		_, err := Decode(nil, []byte(bad))
		var ce *CodecError
		must.True(t, errors.As(err, &ce))
	}
	a, err := ParseKey("0198B0C3-7ABC-7def-8123-456789abcdef")
	must.NoError(t, err)
	again, err := ParseKey(strings.ToLower(a.String()))
	must.NoError(t, err)
	must.Eq(t, a, again)
	for _, bad := range []string{"", "order-7", "0198b0c3-7abc-4def-8123-456789abcdef", "81ARZ3NDEKTSV4RRFFQ69G5FAV"} {
		_, err := ParseKey(bad)
		var ke *KeyError
		must.True(t, errors.As(err, &ke))
	}
}

// TestLateReader guards against a second run of a request after retention has
// dropped its claim record: whatever a reader that starts late grants, replays
// or reports as final, a reader of the complete stream must report as well.
func TestLateReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const unit = 30_000
		const window, retention = 4, 8 // units; ahead is 2 units
		l := Limits{Window: window * unit * time.Millisecond, Ahead: 2 * unit * time.Millisecond}
		type rec struct {
			at int64
			r  Record
		}
		var stream []rec
		now, epochs := int64(100), []uint64{0}
		full := New(l, 1, 1)
		var late *State
		lateEnd := uint64(0)
		for n := rapid.IntRange(1, 60).Draw(t, "steps"); n > 0; n-- {
			now += rapid.SampledFrom([]int64{0, 0, 0, 1, 1, 3}).Draw(t, "wait")
			k := keyAt((now+rapid.Int64Range(-window-1, 3).Draw(t, "key"))*unit, 0)
			i := id(rapid.ByteRange(1, 4).Draw(t, "id"))
			var r Record
			switch rapid.IntRange(0, 6).Draw(t, "kind") {
			case 0:
				r = TakeOwnership{Daemon: "h/1"}
				epochs = append(epochs, uint64(len(stream)+1))
			case 1:
				// Only a request with a granted claim runs and gets a response.
				r = Done{Key: k, ID: i}
				if g, ok := full.Query(k, Digest{i[15] & 1}, i).(Granted); !ok || g.ID != i {
					r = Withdraw{Key: keyAt(0, 0)}
				}
			case 2:
				r = Withdraw{Key: k, ID: i}
			default:
				back := rapid.IntRange(0, min(1, len(epochs)-1)).Draw(t, "stale")
				r = Claim{Key: k, Digest: Digest{i[15] & 1}, ID: i, Epoch: epochs[len(epochs)-1-back]}
			}
			stream = append(stream, rec{now, r})
			off := uint64(len(stream))
			full.Apply(nil, off, now*unit, r)
			if late != nil {
				late.Apply(nil, off, now*unit, r)
				compareReaders(t, full, late, k, off >= lateEnd)
			} else if rapid.IntRange(0, 9).Draw(t, "start") == 0 {
				now += rapid.Int64Range(0, retention+1).Draw(t, "gap")
				first := 0
				for first < len(stream) && stream[first].at < now-retention {
					first++
				}
				lateEnd = off + 1
				late = New(l, uint64(first)+1, lateEnd)
				for j := first; j < len(stream); j++ {
					late.Apply(nil, uint64(j)+1, stream[j].at*unit, stream[j].r)
				}
				for d := int64(-2 * window); d <= 3; d++ {
					compareReaders(t, full, late, keyAt((stream[off-1].at+d)*unit, 0), false)
				}
			}
		}
	})
}

// compareReaders checks the results of a late reader for k. Until a record is
// appended after the late reader started, the clocks of both readers are too old
// to expire keys, so that the late reader may miss a dropped claim. Nothing is
// decided from Free or Mismatch before then, and live is false to skip them.
func compareReaders(t *rapid.T, full, late *State, k Key, live bool) {
	for n := byte(1); n <= 4; n++ {
		d := Digest{n & 1}
		want := full.Query(k, d, id(n))
		switch got := late.Query(k, d, id(n)).(type) {
		case Granted:
			if want != Result(got) {
				t.Fatalf("late reader %#v, complete reader %#v", got, want)
			}
		case Free:
			if live && want != Result(got) {
				t.Fatalf("late reader %#v, complete reader %#v", got, want)
			}
		case Finished:
			if w, ok := want.(Finished); !ok || w.ID != got.ID {
				t.Fatalf("late reader %#v, complete reader %#v", got, want)
			}
		case Mismatch:
			if live && got.Final && want != Result(got) {
				t.Fatalf("late reader %#v, complete reader %#v", got, want)
			}
		}
	}
}

// BenchmarkApply measures the cost of a claim and its done record with n keys in
// memory, and reports the memory that one claim with a stored response of 64
// bytes takes.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{1_000, 30_000, 300_000} {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			heap := heapBytes()
			f := New(Limits{}, 1, 1)
			out := f.Apply(nil, 1, 1, TakeOwnership{Daemon: "h/1"})
			// Keys are spread over the window, so that n keys stay in memory.
			step := MaxWindow.Milliseconds() / int64(n)
			off, at := uint64(1), int64(1)
			add := func() {
				off, at = off+1, at+step
				k := keyAt(at, 0)
				binary.BigEndian.PutUint64(k[8:], off)
				i := ID(k)
				out = f.Apply(out[:0], off, at, Claim{Key: k, ID: i, Epoch: 1}, Done{Key: k, ID: i, StoredResponse: StoredResponse{Status: 200, Body: make([]byte, 64)}})
			}
			for range n {
				add()
			}
			bytesPerClaim := float64(heapBytes()-heap) / float64(f.Len())
			b.ReportAllocs()
			for b.Loop() {
				add()
			}
			b.ReportMetric(bytesPerClaim, "B/claim")
		})
	}
}

// heapBytes returns the size of the reachable heap in bytes.
func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
