// Package kingcuphook defines the domain types of the router and the interfaces
// with interchangeable implementations. It imports no other package of the
// module; those packages import it.
//
// Types that make decisions (admission, selection, retries, placement, leases)
// perform no I/O: they open no socket, start no goroutine and never sleep. The
// caller passes the current time and, where needed, a seeded source of
// randomness.
package kingcuphook
