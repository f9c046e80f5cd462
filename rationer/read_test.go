package rationer

import (
	"errors"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

func TestReadAllReservesWhatItHolds(t *testing.T) {
	for _, n := range []int{0, 1, firstReadBytes - 1, firstReadBytes, firstReadBytes + 1, 100_000} {
		is := is.New(t)
		text := strings.Repeat("x", n)
		r := &Rationer{Bytes: 1 << 20}
		for _, length := range []int64{int64(n), -1} {
			a := r.Open()
			read, err := a.ReadAll(iotest.OneByteReader(strings.NewReader(text)), length, 100_000)
			is.NoErr(err)
			is.Equal(string(read), text)
			is.True(a.Held() >= int64(cap(read)))
			a.Close()
		}
		is.Equal(r.Usage().Held, int64(0))
	}
}

func TestReadAllStopsWithoutRoom(t *testing.T) {
	for _, length := range []int64{100_000, -1} {
		is := is.New(t)
		r := &Rationer{Bytes: 64 << 10}
		text := strings.NewReader(strings.Repeat("x", 100_000))
		_, err := r.Open().ReadAll(text, length, 100_000)
		is.True(errors.Is(err, kingcuphook.ErrOutOfMemory))
		is.True(text.Len() > 32<<10) // the rest stays unread
	}
}
