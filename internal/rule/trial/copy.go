package trial

import (
	"slices"
	"time"
)

type (
	// Copy is one request that may be a repetition of others.
	Copy struct {
		// Keys are those of the crash histories that its repetitions have.
		Keys []string
		// suspect are those of them that are suspected; the copy is registered under
		// these. seq numbers the registered copies.
		suspect []string
		seq     uint64
		state   state
		// repeated is set if more than one crash is known of a suspected key, and
		// wants if only the holder's assignment is missing.
		repeated, wants bool
		// assigned is set if the holder has assigned the trial.
		assigned bool
		// since is when the present state began.
		since time.Time
	}

	// state is that of a Copy.
	state uint8

	// Verdict says what may be done with a request.
	Verdict uint8
)

// Values of Verdict.
const (
	// Free means that the request isn't a suspect.
	Free Verdict = iota
	// Run means that the request is a suspect and may be sent.
	Run
	// Held means that the request may not be sent for now.
	Held
)

const (
	// idle: not a suspect.
	idle state = iota
	// waiting: may not be sent.
	waiting
	// admitted: may be sent, and hasn't been.
	admitted
	// running: has been sent.
	running
)

// Suspected reports whether the request is a suspect, as of the last Admit.
func (c *Copy) Suspected() bool { return len(c.suspect) > 0 }

// Wants reports whether only the holder's assignment is missing, as of the last Admit.
func (c *Copy) Wants() bool { return c.wants }

// register has a copy listed under the keys that are suspected.
func (t *Table) register(c *Copy, suspect []string) {
	if slices.Equal(c.suspect, suspect) {
		return
	}
	if c.seq == 0 {
		t.seq++
		c.seq = t.seq
	}
	t.unregister(c)
	c.suspect = suspect
	for _, k := range suspect {
		list := t.copies[k]
		i, _ := slices.BinarySearchFunc(list, c.seq, func(d *Copy, seq uint64) int { return int(int64(d.seq) - int64(seq)) })
		t.copies[k] = slices.Insert(list, i, c)
	}
}

// unregister removes a copy from the lists.
func (t *Table) unregister(c *Copy) {
	for _, k := range c.suspect {
		list := slices.DeleteFunc(t.copies[k], func(d *Copy) bool { return d == c })
		if len(list) == 0 {
			delete(t.copies, k)
		} else {
			t.copies[k] = list
		}
	}
	c.suspect = nil
}

// blocked reports whether another copy here is run, may be, or goes first.
func (t *Table) blocked(c *Copy) bool {
	for _, k := range c.suspect {
		for _, d := range t.copies[k] {
			if d != c && (d.state > waiting || c.state <= waiting && d.seq < c.seq) {
				return true
			}
		}
	}
	return false
}

// disputed reports whether there is a sign of repetitions of a suspect.
func (t *Table) disputed(now time.Time, c *Copy) bool {
	if c.repeated {
		return true
	}
	for _, k := range c.suspect {
		if len(t.copies[k]) > 1 || t.runCounts[k] > 1 || t.contestedAt(now, k) != nil {
			return true
		}
	}
	return false
}

// registered returns the suspects in the order of their registration.
func (t *Table) registered() (out []*Copy) {
	for _, list := range t.copies {
		out = append(out, list...)
	}
	slices.SortFunc(out, func(a, b *Copy) int { return int(int64(a.seq) - int64(b.seq)) })
	return slices.Compact(out)
}
