// Package executor runs the duties that only one router of the fleet has at a time, while this
// router holds their lease, and makes their calls to the platform.
//
// A term decides when a holder may act. A Client makes the calls, and an Executor calls the workers of
// the duties.
package executor
