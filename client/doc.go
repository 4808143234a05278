// Package client is the Go client of chicoryswitch.
//
// Generate returns one uninterrupted stream of tokens. When a connection, a
// router or an engine fails, the stream reconnects through the configured
// addresses and resumes with its resume token, its offset and the tokens received
// so far. It honours the retry delay of a refusal and fails on permanent errors.
//
// Call makes one short call and resends it only if that cannot execute it twice.
package client
