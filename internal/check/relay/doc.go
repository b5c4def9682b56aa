// Package relay forwards TCP connections between the processes of a failure
// scenario, and can cut or delay the traffic between any two of them in either
// direction.
//
// A Net has named nodes, which are processes or in-process servers. Each
// target listens behind one relay address that all nodes share, because a
// configuration names one address for each upstream. The node that opened a
// connection is found from the connection's addresses: the system tells its
// socket, and the sockets of each process that the scenario started. This works on Linux only.
//
// Bytes in a cut direction are held until it is healed and then delivered, as
// a network would retransmit them; a new connection is accepted and gets no
// answer.
package relay
