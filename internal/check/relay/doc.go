// Package relay forwards TCP connections between the processes of a
// fault-injection scenario. It can cut or delay the traffic between any two of
// them in either direction.
//
// A Network has named nodes, which are processes or in-process servers. All
// nodes reach a target through the same relay address, because a configuration
// has one address for each upstream. The node that opened a connection is
// identified by the connection's addresses: the kernel reports the inode of
// their socket, and /proc lists the sockets of each process that the scenario
// started. This works on Linux only.
//
// Bytes in a cut direction are held back until the cut is healed and are then
// delivered, as TCP would retransmit them. A new connection in a cut direction
// is accepted and receives no response.
package relay
