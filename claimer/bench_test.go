package claimer

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"
)

// BenchmarkFind looks up a new key among the claims of an hour at 1,000 claims/s:
// 1,200 segments of 3,000 claims each, and a full head.
func BenchmarkFind(b *testing.B) {
	now := time.Now()
	c := &Claimer{}
	c.once.Do(c.start)
	s := c.shards[0]
	s.sealed = make(map[int64][]uint64)
	head := &Ledger{}
	for i := range int64(1200) {
		l := &Ledger{}
		for j := range 3000 {
			l.add(HashOf("cafe", fmt.Sprint(i, "-", j)), Nonce{}, now, 1)
		}
		s.sealed[i] = hashPrefixes(l)
		head.segments = append(head.segments, segmentRef{number: i, last: now})
	}
	for j := range 3000 {
		head.add(HashOf("cafe", fmt.Sprint(j)), Nonce{}, now, 1)
	}
	h := HashOf("cafe", "new")
	for b.Loop() {
		if _, ok, err := s.find(head, h, now); ok || err != nil {
			b.Fatal("found")
		}
	}
	b.ReportMetric(float64(binary.Size(s.sealed[0])*len(s.sealed))/(1<<20), "MB")
}

// BenchmarkCommit encodes and decodes a full head.
func BenchmarkCommit(b *testing.B) {
	l := &Ledger{}
	for j := range 3000 {
		l.add(HashOf("cafe", fmt.Sprint(j)), Nonce{}, time.Now(), 1)
	}
	for b.Loop() {
		if _, err := Decode(l.Encode()); err != nil {
			b.Fatal(err)
		}
	}
}
