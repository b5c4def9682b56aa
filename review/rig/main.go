// Command rig runs one case of the review against the programs of the deploy file. It
// plays the store, the replicas, the clients and the platform. It exits with 1 if a rule
// was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// deployment is what a case runs on.
type deployment struct {
	store    *store
	platform *platform
	rec      *record
	trouble  bool
}

// errNotReady states that the daemons did not come up.
var errNotReady = errors.New("the daemons are not ready")

// cases return whether the rule held.
var cases = map[string]func(d *deployment) (bool, error){}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", "", "root of the repository")
	dir := flag.String("dir", ".", "folder of the case")
	flag.Parse()
	os.Exit(run(*name, *root, *dir))
}

func run(name, root, dir string) int {
	f := cases[name]
	if f == nil {
		fmt.Println("no case", name)
		return 2
	}
	rec, err := newRecord(dir)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer rec.close()
	s, err := newStore()
	if err != nil {
		rec.sayf("%v", err)
		return 2
	}
	p, err := newPlatform(root, s, rec)
	if err != nil {
		rec.sayf("%v", err)
		return 2
	}
	defer p.end()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		p.end()
		os.Exit(2)
	}()
	held, err := f(&deployment{store: s, platform: p, rec: rec, trouble: os.Getenv("TROUBLE") != "0"})
	switch {
	case err != nil:
		rec.sayf("could not run: %v", err)
		return 2
	case held:
		rec.sayf("the rule held")
		return 0
	}
	rec.sayf("the rule is broken")
	return 1
}
