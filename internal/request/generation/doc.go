// Package generation carries model generations between callers and engines.
//
// A generation has one identity, one seed and one sequence of tokens. Tokens that
// were released to the caller are the committed prefix and never change. An
// attempt is one run of an engine for a generation; attempts have growing
// numbers, and only chunks of the current attempt that continue the prefix are
// released. When a stream is lost, the router first attaches to the same attempt
// on a new connection and otherwise starts a higher attempt on another target
// with the prompt and the prefix. A caller whose router died comes back at any
// router with its resume token, its tokens and their proof.
//
// Every error that leaves the package has a kind of package fault.
package generation
