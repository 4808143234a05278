// Package generation streams model generations from engines to callers and resumes
// them after failures.
//
// A generation has one ID, one seed and one sequence of tokens. The tokens
// released to the caller form the committed prefix, which never changes. An attempt
// is one execution of a generation by an engine. Attempt numbers increase, and only
// chunks of the current attempt that continue the prefix are released. When a stream
// is lost, the router first attaches to the same attempt over a new connection;
// otherwise it starts an attempt with a higher number on another target, with the
// prompt and the prefix as input. A caller that has lost its router resumes at any
// other router with its resume token, the tokens it has received and their proof.
//
// Every error that the package returns has a kind of package fault.
package generation
