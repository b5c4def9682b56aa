package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestChangeAfterHistoryCut guards against a change that comes into force after its
// deadline on daemons that could read the log all the time: the holder, whose reads they
// rely on, is just back from a cut, the history was deleted meanwhile, and the record is
// written just after the others looked for it (figtray-coop scale-2, seed 55594420969).
// A daemon that the holder tells of a newer configuration doesn't end its read under way,
// so the answer to that may also be late.
func TestChangeAfterHistoryCut(t *testing.T) {
	const (
		// cutBeforeDrop and cutAfterDrop are the parts of the cut before and after
		// the history was deleted.
		cutBeforeDrop, cutAfterDrop = 6 * time.Second, 4 * time.Second
		// missWindow is the age up to which a read isn't woken by a record.
		missWindow = 10 * time.Millisecond
		// lateAnswer is the time of a late answer's way, just within the time after
		// which a call is given up.
		lateAnswer = 700 * time.Millisecond
		// returnTime is the time from the end of a cut until a daemon has what was
		// written meanwhile, if answers are late: a call under way is given up, the
		// longest pause after a failure passes, and the next call is answered. The
		// platform's bounds hold 3 s after a cut.
		returnTime = modelCallTimeout + 600*time.Millisecond + modelCallTimeout
		seeds      = 10
	)
	changes := map[string]func(fl *modelFleet){
		kindConfig: func(fl *modelFleet) {
			fl.log.awaitLook(modelConfig)
			fl.configure()
		},
		kindDrain: func(fl *modelFleet) {
			fl.log.awaitLook(modelUpstreams)
			fl.drain("u1")
		},
	}
	for kind, change := range changes {
		for seed := range uint64(2 * seeds) {
			late := time.Duration(seed%2) * lateAnswer
			runFleet(t, 4, modelDeadline, seed, func(t *testing.T, fl *modelFleet) {
				fl.log.setMisses(missWindow, 0)
				holder := fl.holder()
				must.NotNil(t, holder)
				holder.setCut(true, false)
				time.Sleep(cutBeforeDrop)
				fl.log.dropHistory()
				time.Sleep(cutAfterDrop - modelDeadline)
				fl.log.setAnswerTime(late)
				time.Sleep(modelDeadline)
				change(fl)
				holder.setCut(false, false)
				time.Sleep(4 * modelDeadline)
				took, never := fl.times(kind)
				must.SliceEmpty(t, never)
				must.SliceLen(t, 4, took)
				others, _ := fl.times(kind, holder)
				must.SliceLen(t, 3, others)
				must.LessEq(t, modelDeadline, others[len(others)-1], must.Sprint(kind, " seed ", seed, " late ", late))
				limit := modelDeadline
				if late > 0 {
					limit = returnTime
				}
				must.LessEq(t, limit, took[len(took)-1], must.Sprint(kind, " seed ", seed, " late ", late))
				t.Logf("%s, seed %d, answers late by %v: %v", kind, seed, late, took)
			})
		}
	}
}
