// Package kingcuphook holds the domain types of the router and the interfaces
// of everything whose implementation may vary. It imports nothing of the
// module; the packages below it import it.
//
// Decisions (admit, select, retry, place, take a lease) are plain objects: they
// open no socket, start no goroutine and never sleep. The caller passes the
// current time and, where one is needed, a seeded source of randomness.
package kingcuphook
