package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

const (
	// commaClients is the number of clients, commaRequests that of their requests.
	commaClients, commaRequests = 800, 8000
	// commaBytes is the size of the prompt prefix: the head stays below maxHeaderBytes.
	commaBytes = 15 << 10
	// deskWork is the time that a run of the plain service takes.
	deskWork = 30 * time.Millisecond
)

func init() { plays["commas"] = playCommas }

// playCommas has uncontrolled clients send requests of legal size whose prompt prefix
// consists of very many short parts, and looks at the daemon's memory.
func playCommas(r *rig) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.store.put("keyed.op", "config", []byte(lookupConfig))
	for i := range deskReplicas {
		if _, err := newReplica(ctx, r.store, fmt.Sprintf("i-desk%d", i), "yeongcheon", deskWork); err != nil {
			return false, err
		}
	}
	d, err := r.add(machine{name: "frontend-yeongcheon-1", memoryMB: 284, fds: 4200, first: true})
	if err != nil {
		return false, err
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	now, _ := d.residentKB()
	r.note("daemon ready, resident %d KB of %d KB", now, d.memoryMB<<10)
	// The same number of bytes in one part, or in as many parts as it has bytes.
	value := strings.Repeat("a", commaBytes)
	if r.trouble {
		value = strings.Repeat(",", commaBytes)
	}
	return r.watchMemory(d, &crowd{daemon: d, requests: commaRequests, clients: commaClients, parts: func(int) string { return value }}), nil
}
