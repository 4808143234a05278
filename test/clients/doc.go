// Package clients runs one control VM and one entry VM as separate processes on loopback and
// sends them what clients outside the deployment's control may send: many header lines, heads and
// bodies without end. The tests check that the processes keep running within their memory and
// descriptors, and that an ordinary request is answered afterwards.
package clients
