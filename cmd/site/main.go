// Command site starts a complete example deployment as processes on loopback and
// runs it until it is interrupted, so that readers of docs/OPERATIONS.md can try
// the commands.
//
//	site -bin DIR -dir DIR [-example cooperative|kawabata] [-base PORT]
//
// -bin is the directory of the built programs. Settings, the configuration and
// logs are written to -dir, and for each process NAME.pid and NAME.sh, a script
// that restarts it. Ports are relative to -base: entry host N listens on
// base+79+N for callers, base+179+N for peers and base+279+N for operators, and
// the platform on base+300. The ports of upstreams are those of the example.
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

// maxBasePort leaves room for the port offsets below 65536.
const maxBasePort = 65000

var defaultBasePort = map[string]int{"cooperative": 18000, "kawabata": 28000}

func main() {
	var s site
	flag.StringVar(&s.bin, "bin", "bin", "folder of the built programs")
	flag.StringVar(&s.dir, "dir", "site", "folder for settings and logs; created if absent")
	flag.StringVar(&s.example, "example", "cooperative", "example to run: cooperative or kawabata")
	flag.IntVar(&s.basePort, "base", 0, "first port; 0 stands for 18000 (cooperative) or 28000 (kawabata)")
	flag.Parse()
	os.Exit(run(&s))
}

func run(s *site) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	startedAt := time.Now()
	if s.basePort == 0 {
		s.basePort = defaultBasePort[s.example]
	}
	if s.basePort < 1 || s.basePort > maxBasePort {
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
	fmt.Printf("site: version %d in force after %.1f s; interrupt to stop\n", s.Version, time.Since(startedAt).Seconds())
	s.watchCuts(ctx)
	return 0
}
