package entry

import (
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	fleetSizes    = flag.String("fleet-sizes", "4,30", "sizes of the fleets of TestTimeToInForce, separated by commas")
	fleetDeadline = flag.Duration("fleet-deadline", modelDeadline, "deadline of the changes of TestTimeToInForce")
	fleetSeed     = flag.Uint64("fleet-seed", 1, "seed of TestTimeToInForce")
)

const (
	// changeGap is the mean time between two changes, and disturbanceGap between
	// two disturbances; modelRun is the duration of a run.
	changeGap      = 700 * time.Millisecond
	disturbanceGap = time.Second
	modelRun       = 60 * time.Second
	// heartbeatGap is the time between two entries of upstreams.
	heartbeatGap = 50 * time.Millisecond
)

// disturbances maps names to disturbances, which return once they are over.
var disturbances = []struct {
	name string
	f    func(fl *modelFleet)
}{
	{"cut", func(fl *modelFleet) {
		cut := fl.sample(max(1, len(fl.daemons)/10))
		for _, d := range cut {
			d.setCut(true, true)
		}
		time.Sleep(fl.duration(8 * time.Second))
		for _, d := range cut {
			d.setCut(false, false)
		}
	}},
	{"cut of the holder from the log", func(fl *modelFleet) {
		if d := fl.holder(); d != nil {
			d.setCut(true, false)
			time.Sleep(fl.duration(8 * time.Second))
			d.setCut(false, false)
		}
	}},
	{"cut of one from the daemons", func(fl *modelFleet) {
		d := fl.sample(1)[0]
		d.setCut(false, true)
		time.Sleep(fl.duration(8 * time.Second))
		d.setCut(false, false)
	}},
	{"end of the holder", func(fl *modelFleet) {
		if d := fl.holder(); d != nil {
			d.halt()
			time.Sleep(fl.duration(8 * time.Second))
			d.start()
		}
	}},
	{"slow log", func(fl *modelFleet) {
		fl.log.setCallTime(slowCallTime)
		time.Sleep(fl.duration(6 * time.Second))
		fl.log.setCallTime(usualCallTime)
	}},
	{"history dropped", func(fl *modelFleet) {
		d := fl.sample(1)[0]
		d.setCut(true, true)
		time.Sleep(fl.duration(4 * time.Second))
		fl.log.dropHistory()
		time.Sleep(fl.duration(4 * time.Second))
		d.setCut(false, false)
	}},
	{"missed wake-ups", func(fl *modelFleet) {
		fl.log.setMisses(10*time.Millisecond, 0.5)
		time.Sleep(fl.duration(6 * time.Second))
		fl.log.setMisses(10*time.Millisecond, 0)
	}},
	{"missed wake-ups without the holder's reads", func(fl *modelFleet) {
		d := fl.holder()
		if d == nil {
			return
		}
		fl.log.setMisses(10*time.Millisecond, 0.5)
		d.setCut(true, false)
		time.Sleep(fl.duration(8 * time.Second))
		d.setCut(false, false)
		fl.log.setMisses(10*time.Millisecond, 0)
	}},
	{"start", func(fl *modelFleet) { fl.start() }},
}

// duration returns a random duration between a quarter and all of d.
func (fl *modelFleet) duration(d time.Duration) time.Duration {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return d/4 + randUpTo(fl.rng, d*3/4)
}

// sample returns n random daemons that run.
func (fl *modelFleet) sample(n int) (ds []*modelDaemon) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, i := range fl.rng.Perm(len(fl.daemons)) {
		if d := fl.daemons[i]; len(ds) < n && d.running.Load() {
			ds = append(ds, d)
		}
	}
	return ds
}

// idle returns the calls to the log a second while nothing changes.
func (fl *modelFleet) idle() float64 {
	calls := fl.log.callCount()
	time.Sleep(modelRun)
	return float64(fl.log.callCount()-calls) / modelRun.Seconds()
}

// play makes changes for modelRun, with disturbances if disturbed is set, and
// returns the calls to the log a second.
func (fl *modelFleet) play(disturbed bool) float64 {
	began, calls := time.Now(), fl.log.callCount()
	end := began.Add(modelRun)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := 0; time.Now().Before(end); n++ {
			time.Sleep(heartbeatGap)
			if id := fmt.Sprint("u", n%10); !fl.isLeaving(id) {
				fl.register(id)
			}
		}
	}()
	disturbancesDone := make(chan struct{})
	go func() {
		defer close(disturbancesDone)
		for n := 0; disturbed && time.Now().Before(end); n++ {
			time.Sleep(fl.duration(2 * disturbanceGap))
			x := disturbances[n%len(disturbances)]
			x.f(fl)
			fl.change()
		}
	}()
	for time.Now().Before(end) {
		time.Sleep(fl.duration(2 * changeGap))
		fl.change()
	}
	<-done
	<-disturbancesDone
	rate := float64(fl.log.callCount()-calls) / time.Since(began).Seconds()
	time.Sleep(4 * fl.deadline)
	return rate
}

// change publishes a configuration, and lets a new upstream register and the last
// one drain.
func (fl *modelFleet) change() {
	fl.mu.Lock()
	n := len(fl.changes)
	fl.mu.Unlock()
	if n%2 == 0 {
		fl.configure()
		return
	}
	fl.register(fmt.Sprint("v", n))
	if n > 6 {
		fl.drain(fmt.Sprint("v", n-4))
	} else {
		fl.drain(fmt.Sprint("x", n))
	}
}

// summary describes times in ascending order.
func summary(times []time.Duration) string {
	return fmt.Sprintf("%d times, 99th %v, highest %v", len(times), times[len(times)*99/100].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond))
}

// stated returns what the metric of a kind of change states, in ascending order.
func (fl *modelFleet) stated(kind string) (times []time.Duration) {
	for _, lag := range fl.observed(kind) {
		times = append(times, lag.stated)
	}
	slices.Sort(times)
	return times
}

// TestTimeToInForce guards against a change of the configuration, or an upstream that
// starts to drain, that comes into force after its deadline, whatever disturbs the
// fleet. With -v it prints the times and the calls to the log that they cost.
func TestTimeToInForce(t *testing.T) {
	for size := range strings.SplitSeq(*fleetSizes, ",") {
		n, err := strconv.Atoi(size)
		must.NoError(t, err)
		for _, disturbed := range []bool{false, true} {
			runFleet(t, n, *fleetDeadline, *fleetSeed, func(t *testing.T, fl *modelFleet) {
				idle, rate := fl.idle(), fl.play(disturbed)
				t.Logf("%d daemons, disturbed %t: %.1f calls to the log a second without changes, %.1f with %d changes in %v", n, disturbed, idle, rate, len(fl.changes), modelRun)
				for _, kind := range []string{kindConfig, kindDrain} {
					took, never := fl.times(kind)
					highest := took[len(took)-1]
					t.Logf("%d daemons, disturbed %t, %s: %s; stated by the metric: %s", n, disturbed, kind, summary(took), summary(fl.stated(kind)))
					must.SliceEmpty(t, never)
					must.LessEq(t, fl.deadline, highest, must.Sprint(kind, " disturbed ", disturbed))
				}
			})
		}
	}
}

// TestLateAnswers guards against a daemon that takes what the log answered late for
// what the log knows now, and reads again too late for a change in between.
func TestLateAnswers(t *testing.T) {
	// lateAnswer is the time of an answer's way, within the time after which a call
	// is given up.
	const lateAnswer = 650 * time.Millisecond
	runFleet(t, 4, modelDeadline, 1, func(t *testing.T, fl *modelFleet) {
		holder := fl.holder()
		must.NotNil(t, holder)
		holder.setCut(true, false)
		fl.log.setAnswerTime(lateAnswer)
		for range 60 {
			time.Sleep(fl.duration(2 * changeGap))
			fl.change()
		}
		fl.log.setAnswerTime(0)
		holder.setCut(false, false)
		time.Sleep(4 * fl.deadline)
		for _, kind := range []string{kindConfig, kindDrain} {
			took, never := fl.times(kind)
			must.SliceEmpty(t, never)
			must.LessEq(t, modelDeadline, took[len(took)-1], must.Sprint(kind))
		}
	})
}

// TestLagIsUpperBound guards against metrics that state a shorter time than a change
// took to come into force, whatever the clocks of the daemons and the log show.
func TestLagIsUpperBound(t *testing.T) {
	for _, late := range []time.Duration{0, 400 * time.Millisecond} {
		runFleet(t, 8, modelDeadline, 2, func(t *testing.T, fl *modelFleet) {
			fl.log.setAnswerTime(late)
			fl.play(true)
			for _, kind := range []string{kindConfig, kindDrain} {
				lags := fl.observed(kind)
				for _, lag := range lags {
					must.LessEq(t, lag.stated, lag.actual, must.Sprint(kind))
				}
				took, _ := fl.times(kind)
				// Observations lack where a daemon learnt two changes at once, or
				// missed the start of an upstream that it learnt to be draining.
				must.Greater(t, len(took)/2, len(lags), must.Sprint(kind))
			}
		})
	}
}
