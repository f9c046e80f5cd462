package hasher

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

// The chains of two prompts are equal up to the end of their shared prefix, and chains
// of different models differ from the start.
func TestAppendSharedPrefix(t *testing.T) {
	is := is.New(t)
	shared := bytes.Repeat([]byte("a"), 3*BlockBytes)
	first := Append(nil, "m", append(bytes.Clone(shared), bytes.Repeat([]byte("b"), BlockBytes)...))
	second := Append(nil, "m", append(bytes.Clone(shared), bytes.Repeat([]byte("c"), BlockBytes+1)...))

	is.Equal(len(first), 4)
	is.Equal(len(second), 4)
	is.Equal(first[:3], second[:3])
	is.True(first[3] != second[3])
	is.True(first[0] != first[1])
	is.True(Append(nil, "n", shared)[0] != first[0])
}

// An incomplete last block and the blocks past MaxBlocks are not hashed.
func TestAppendChainLength(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Append(nil, "m", make([]byte, BlockBytes-1))), 0)
	is.Equal(len(Append(nil, "m", make([]byte, (MaxBlocks+5)*BlockBytes))), MaxBlocks)
}

func BenchmarkAppend(b *testing.B) {
	prompt := make([]byte, 32<<10)
	dst := make([]uint64, 0, MaxBlocks)
	b.ReportAllocs()
	b.SetBytes(int64(len(prompt)))
	for b.Loop() {
		dst = Append(dst[:0], "m", prompt)
	}
}
