package feed

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// script is a Source that plays steps, and a Sink that notes what it gets.
type script struct {
	t     *testing.T
	steps []step
	stop  context.CancelFunc
	got   []string
	away  int
	back  int
	known int64
	waits []time.Duration
}

type step struct {
	// newest tells the call that is expected.
	newest  bool
	from    int64
	records []Record
	next    int64
	err     error
	// known is what the sink knows from elsewhere after the call.
	known int64
}

func (s *script) play(newest bool, from int64) (*Page, error) {
	if len(s.steps) == 0 {
		s.stop()
		return nil, context.Canceled
	}
	x := s.steps[0]
	s.steps = s.steps[1:]
	must.Eq(s.t, x.newest, newest)
	if !newest {
		must.Eq(s.t, x.from, from)
	}
	s.known = x.known
	return &Page{Records: x.records, Next: x.next, End: x.next}, x.err
}

func (s *script) Newest(context.Context) (*Page, error) { return s.play(true, 0) }

func (s *script) Read(_ context.Context, from int64, wait time.Duration) (*Page, error) {
	s.waits = append(s.waits, wait)
	return s.play(false, from)
}

func (s *script) KnownOffset() int64 { return s.known }

func (s *script) Replace(_ time.Time, p *Page) {
	s.got = append(s.got, "replace")
	s.Apply(time.Time{}, p)
}

func (s *script) Apply(_ time.Time, p *Page) {
	for _, r := range p.Records {
		s.got = append(s.got, r.Key+"="+string(r.Value))
	}
}

func (s *script) Failed(time.Time, error)            { s.away++ }
func (s *script) Recovered(time.Time, time.Duration) { s.back++ }

func run(t *testing.T, steps ...step) *script {
	ctx, cancel := context.WithCancel(context.Background())
	s := &script{t: t, steps: steps, stop: cancel}
	f := New(Settings{Name: "test", Delay: func(time.Time) time.Duration { return 0 }}, s, s, time.Now)
	must.ErrorIs(t, f.Run(ctx), context.Canceled)
	return s
}

func rec(k, v string) Record { return Record{Key: k, Value: []byte(v)} }

// TestFollows guards against records that are missed between the newest ones
// and the first read.
func TestFollows(t *testing.T) {
	s := run(t,
		step{newest: true, records: []Record{rec("a", "1")}, next: 5},
		step{from: 5, records: []Record{rec("a", "2"), rec("b", "3")}, next: 7},
		step{from: 7, next: 7},
		step{from: 7, records: []Record{rec("b", "")}, next: 8})
	must.Eq(t, []string{"replace", "a=1", "a=2", "b=3", "b="}, s.got)
}

// TestReadsOnFromWhatIsKnown guards against a daemon that reads again what
// another one has told it, which is most of a register's traffic.
func TestReadsOnFromWhatIsKnown(t *testing.T) {
	s := run(t,
		step{newest: true, next: 5, known: 900},
		step{from: 900, records: []Record{rec("a", "2")}, next: 901, known: 700},
		step{from: 901, next: 901})
	must.Eq(t, []string{"replace", "a=2"}, s.got)
}

// TestWaitsWhileNotDue guards against calls to the log while another daemon
// tells what is new, and against none once it has fallen silent.
func TestWaitsWhileNotDue(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &script{t: t, steps: []step{{newest: true, next: 5}}, stop: cancel}
	asked := 0
	due := func(time.Time) time.Duration {
		if asked++; asked < 4 {
			must.Len(t, 1, s.steps)
			return time.Millisecond
		}
		return 0
	}
	must.ErrorIs(t, New(Settings{Name: "test", Delay: due}, s, s, time.Now).Run(ctx), context.Canceled)
	must.Eq(t, []string{"replace"}, s.got)
	must.Eq(t, 5, asked)
}

// TestHistoryDropped guards against a daemon that hears nothing more because the
// records it would read have been deleted.
func TestHistoryDropped(t *testing.T) {
	s := run(t,
		step{newest: true, next: 5},
		step{from: 5, err: &DeletedError{From: 5}},
		step{newest: true, records: []Record{rec("a", "9")}, next: 40},
		step{from: 40, records: []Record{rec("a", "10")}, next: 41})
	must.Eq(t, []string{"replace", "replace", "a=9", "a=10"}, s.got)
	must.Eq(t, 0, s.away)
}

// TestOutage guards against losing the state during an outage, and against an
// outage that its owner isn't told of.
func TestOutage(t *testing.T) {
	s := run(t,
		step{newest: true, records: []Record{rec("a", "1")}, next: 5},
		step{from: 5, err: &StatusError{Status: 503}},
		step{from: 5, err: &StatusError{Status: 429}},
		step{from: 5, records: []Record{rec("a", "2")}, next: 6})
	must.Eq(t, []string{"replace", "a=1", "a=2"}, s.got)
	must.Eq(t, 2, s.away)
	must.Eq(t, 1, s.back)
}

// TestSilentLog answers an outage in which calls get no answer: while the log may
// still be silent no call waits for records, so that its return is noticed within
// one call's ordinary time. Waiting calls took 3.3 s each, and a configuration
// was in force 3.6 s after the return.
func TestSilentLog(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &script{t: t, stop: cancel, steps: []step{
		{newest: true, next: 5}, {from: 5, next: 5},
		{from: 5, err: context.DeadlineExceeded}, {from: 5, err: context.DeadlineExceeded},
		{from: 5, next: 6}, {from: 6, next: 6},
	}}
	f := New(Settings{
		Name: "test", Delay: func(time.Time) time.Duration { return 0 }, Wait: func() time.Duration { return time.Second },
	}, s, s, time.Now)
	must.ErrorIs(t, f.Run(ctx), context.Canceled)
	must.Eq(t, []time.Duration{time.Second, time.Second, 0, 0, time.Second, time.Second}, s.waits)
}

// TestTruncatedRecord guards against a record that breaks off: the whole ones
// before it count, and the newest records follow.
func TestTruncatedRecord(t *testing.T) {
	s := run(t,
		step{newest: true, next: 5},
		step{from: 5, records: []Record{rec("a", "1")}, next: 6, err: &TruncatedError{Offset: 6, Detail: "length"}},
		step{newest: true, records: []Record{rec("a", "2")}, next: 7},
		step{from: 7, next: 7})
	must.Eq(t, []string{"replace", "a=1", "replace", "a=2"}, s.got)
}
