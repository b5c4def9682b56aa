package main

import (
	"strings"
	"time"
)

const (
	// commaClients is the number of clients of a machine.
	commaClients = 800
	// commaBytes is the size of the prompt prefix: the head stays below maxHeaderBytes.
	commaBytes = 15 << 10
	// deskWork is the time that a run of the plain service takes.
	deskWork = 15 * time.Millisecond
)

func init() { plays["commas"] = playCommas }

// playCommas has uncontrolled clients send requests of legal size whose prompt prefix
// consists of very many short parts.
func playCommas(r *rig) (bool, error) {
	// The same number of bytes in one part, or in as many parts as it has bytes.
	value := strings.Repeat("a", commaBytes)
	if r.trouble {
		value = strings.Repeat(",", commaBytes)
	}
	return r.playCrowds(func(d *daemon) *crowd {
		return &crowd{daemon: d, clients: commaClients, parts: func(int) string { return value }}
	})
}
