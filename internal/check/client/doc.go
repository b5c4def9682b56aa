// Package client contains the tests of uncontrolled clients: clients that send bodies
// without end, heads of very many fields or requests whose answers they don't read, or
// that stop half-way.
//
// Each test starts one daemon as a process on loopback, with a lowered memory limit and a
// lowered number of file descriptors, and a small number of clients of one kind at one
// path. It checks that the process lives, that its resident memory and its open
// descriptors stay below the limits of its settings, and that an ordinary request is
// answered while the clients are still connected. It checks no times and no shares.
package client
