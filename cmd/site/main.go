// Command site starts a whole deployment from an example as processes on
// loopback and keeps it running until it is interrupted, so that a reader of
// docs/OPERATIONS.md can try each command.
//
//	site -bin DIR -dir DIR [-example cooperative|kawabata] [-base PORT]
//
// -bin holds the built programs. -dir receives settings, the configuration,
// logs, and for each process NAME.pid and NAME.sh, which starts it again.
// Ports count from -base: entry host N listens at base+79+N for callers,
// base+179+N for peers and base+279+N for operators, and the platform at
// base+300. The ports of upstreams are those of the example.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/azurespan/azurespan/internal/check/fleet"
)

func main() {
	var s site
	flag.StringVar(&s.bin, "bin", "bin", "folder of the built programs")
	flag.StringVar(&s.dir, "dir", "site", "folder for settings and logs; created if absent")
	flag.StringVar(&s.example, "example", "cooperative", "example to run: cooperative or kawabata")
	flag.IntVar(&s.base, "base", 0, "first port; 0 stands for 18000 (cooperative) or 28000 (kawabata)")
	flag.Parse()
	os.Exit(run(&s))
}

func run(s *site) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	began := time.Now()
	if s.base == 0 {
		s.base = map[string]int{"cooperative": 18000, "kawabata": 28000}[s.example]
	}
	if s.base < 1 || s.base > 65000 {
		fmt.Fprintf(os.Stderr, "site: example %q is not known, or -base is not in 1 to 65000\n", s.example)
		return 2
	}
	if err := os.MkdirAll(s.dir, 0o755); err != nil {
		fmt.Fprintln(os.Stderr, "site:", err)
		return 1
	}
	s.Site = &fleet.Site{Fleet: fleet.New(s.bin, s.dir)}
	defer s.KillAll()
	if err := s.start(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "site:", err)
		return 1
	}
	fmt.Printf("site: version %d in force after %.1f s; interrupt to stop\n", s.Version, time.Since(began).Seconds())
	s.watch(ctx)
	return 0
}
