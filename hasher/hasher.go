// Package hasher computes the chain of block hashes of a prompt, which identifies
// prefixes that several prompts share, and writes hashes as text.
package hasher

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the estimated length of a token in bytes.
	BytesPerToken = 4
	// BlockTokens is the estimated length of a block in tokens.
	BlockTokens = 128
	// BlockBytes is the length of a block in bytes.
	BlockBytes = BlockTokens * BytesPerToken
	// MaxBlocks bounds the length of a chain in blocks; the rest of the prompt is
	// not hashed.
	MaxBlocks = 64
)

// Append appends the chain of hashes of the whole blocks of prompt to dst.
// Element i covers the model and blocks 0 to i, so that two chains are equal up
// to the first block that differs. An incomplete last block is left out.
func Append(dst []uint64, model string, prompt []byte) []uint64 {
	previous := xxhash.Sum64String(model)
	for n := 0; n < MaxBlocks && len(prompt) >= BlockBytes; n++ {
		previous = Next(previous, prompt[:BlockBytes])
		dst = append(dst, previous)
		prompt = prompt[BlockBytes:]
	}
	return dst
}

// Next returns the hash that follows previous in a chain.
func Next(previous uint64, block []byte) uint64 {
	var head [8]byte
	binary.LittleEndian.PutUint64(head[:], previous)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(head[:])
	_, _ = d.Write(block)
	return d.Sum64()
}

// Tokens returns the estimated number of tokens in n bytes.
func Tokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }

// Mix is the 64-bit finalizer of MurmurHash3: each bit of x affects all bits of the
// result.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
