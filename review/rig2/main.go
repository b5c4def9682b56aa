package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

type (
	// rig is what a case has at hand.
	rig struct {
		store   *store
		folder  string
		trouble bool
		daemons []*daemon

		mu    sync.Mutex
		log   *os.File
		began time.Time
	}

	// play plays a case and reports whether the rule was broken.
	play func(r *rig) (broken bool, err error)
)

// Exit codes.
const (
	held = iota
	broke
	failed
)

var plays = map[string]play{}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE DIR")
		os.Exit(failed)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2]))
}

// run plays a case and writes its record to a folder.
func run(p play, dir string) int {
	log, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer func() { _ = log.Close() }()
	folder, err := os.MkdirTemp("", "rig2")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	r := &rig{folder: folder, trouble: os.Getenv("TROUBLE") != "0", log: log, began: time.Now()}
	defer func() {
		for _, d := range r.daemons {
			d.kill()
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(folder)
		}
	}()
	if r.store, err = newStore(); err != nil {
		r.note("can't run: %v", err)
		return failed
	}
	broken, err := p(r)
	switch {
	case err != nil:
		r.note("can't run: %v", err)
		return failed
	case broken:
		r.note("the rule is broken")
		return broke
	}
	r.note("the rule held")
	return held
}

// note writes a line to the record.
func (r *rig) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, values...)
	fmt.Fprintln(r.log, line)
	fmt.Println(line)
}

// add starts a daemon on its own loopback address.
func (r *rig) add(m machine) (*daemon, error) {
	d, err := newDaemon(m, fmt.Sprintf("127.0.0.%d", len(r.daemons)+2), r.folder, r.store.address)
	if d != nil && d.command != nil {
		r.daemons = append(r.daemons, d)
	}
	return d, err
}
