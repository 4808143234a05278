// Package client is the Go client of chicoryswitch.
//
// Generate returns one uninterrupted stream of tokens. When a connection, a
// router or an engine is lost, the stream reconnects through the addresses it was
// given and resumes with its resume token, its offset and the tokens it holds. It
// waits as long as a refusal asks for and ends on refusals that are final.
//
// Call makes one short call and resends it only when that can't run it twice.
package client
