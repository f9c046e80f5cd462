package kingcuphook

// KVMemory describes the KV memory of each engine of a pool. The zero value means that its size is unknown,
// so that requests are not bounded by it.
type KVMemory struct {
	// Capacity is the number of tokens that the KV memory of an engine holds; 0 means unknown.
	Capacity int
	// EventTokens is the number of answer tokens in an event of a stream; 0 means 1.
	EventTokens int
}

// HeldMemory is the KV memory that requests of one router are expected to hold at an engine.
type HeldMemory struct {
	// Upstream is the engine.
	Upstream *Upstream
	// Requests is the number of requests, Tokens the number of tokens that they are expected to hold.
	Requests, Tokens int
}
