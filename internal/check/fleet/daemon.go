package fleet

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Daemon describes a daemon to start. It listens on ports that the operating
// system chooses.
type Daemon struct {
	Host, Domain string
	// Platform is the base URL of the log service and, unless Hosts is set, of
	// the host list.
	Platform string
	// Hosts is the base URL of the host list, empty if it is Platform.
	Hosts string
	// Seeds holds the peer addresses that the daemon contacts first.
	Seeds []string
	// Advertise is the address that peers use to reach the daemon; empty for
	// the address on which it listens.
	Advertise string
	// Timing and Limits hold the lines of these sections of the settings.
	Timing, Limits []string
	// Secret is the shared secret; empty for the constant Secret. Daemons of
	// different deployments with the same secret accept each other's messages
	// if one is given a port that a peer of the other had.
	Secret string
}

// RunDaemon writes the settings file of a daemon and starts the daemon.
func (f *Fleet) RunDaemon(ctx context.Context, d Daemon) (*Proc, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "[daemon]\nname = %s\nfailure-domain = %s\ncaller-address = 127.0.0.1:0\npeer-address = 127.0.0.1:0\nadmin-address = 127.0.0.1:0\n", d.Host, d.Domain)
	if d.Advertise != "" {
		fmt.Fprintf(&b, "advertise-address = %s\n", d.Advertise)
	}
	if len(d.Seeds) > 0 {
		fmt.Fprintf(&b, "[peers]\naddresses = %s\n", strings.Join(d.Seeds, ", "))
	}
	log, hosts := strings.TrimPrefix(d.Platform, "http://"), strings.TrimPrefix(d.Hosts, "http://")
	if hosts == "" {
		hosts = log
	}
	fmt.Fprintf(&b, "[platform]\nlog-address = %s\nhosts-address = %s\n[secret]\nshared-secret = %s\n[timing]\n%s\n[limits]\n%s\n",
		log, hosts, cmp.Or(d.Secret, Secret), strings.Join(d.Timing, "\n"), strings.Join(d.Limits, "\n"))
	path := filepath.Join(f.dir, d.Host+".ini")
	if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
		return nil, err
	}
	return f.Start(ctx, d.Host, "azurespan", "serve", "--settings", path)
}
