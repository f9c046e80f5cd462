package kingcuphook

// Demand is what one organisation was served lately of one tier of a pool.
type Demand struct {
	Organisation string
	Tier         Tier
	// Rate is the tokens per second that it was served, prompts and answers.
	Rate float64
	// Routers is the number of routers at which it has queued requests.
	Routers int
}
