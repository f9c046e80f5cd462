package hasher

import "strconv"

const (
	hexBase  = 16
	wordBits = 64
)

// Format returns the text of a hash in logs, records and commands.
func Format(hash uint64) string { return strconv.FormatUint(hash, hexBase) }

// Parse returns the hash with a text of Format. It also takes upper case and leading zeros.
func Parse(text string) (uint64, error) { return strconv.ParseUint(text, hexBase, wordBits) }
