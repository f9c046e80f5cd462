package rationer

import (
	"io"
	"net/http"
)

const (
	// headerLineBytes is the memory that a header line takes beside its text: entries of
	// maps, slices and strings, in the head as received and as forwarded.
	headerLineBytes = 256
	// firstReadBytes is the memory that is reserved first for a text of unknown length.
	firstReadBytes = 4 << 10
)

// HeadBytes returns an upper estimate of the memory that a head takes.
func HeadBytes(h http.Header) int64 {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + headerLineBytes
		}
	}
	return int64(n)
}

// RequestBytes returns an upper estimate of the memory that the head of a request takes.
func RequestBytes(r *http.Request) int64 { return int64(len(r.RequestURI)) + HeadBytes(r.Header) }

// LogFields returns the fields of the log event for a request that found no room on the account.
func (a *Account) LogFields(r *http.Request) []any {
	u := a.rationer.Usage()
	return []any{
		"body-bytes", r.ContentLength, "head-bytes", RequestBytes(r), "held-for-call", a.Held(),
		"held", u.Held, "peak", u.Peak, "budget", u.Bytes, "refused", u.Refused,
	}
}

// LinesBytes returns an upper estimate of the memory that header lines take beside their text.
func LinesBytes(lines int64) int64 { return lines * headerLineBytes }

// ReadAll reads r to its end into memory that it reserves on the account before it reads on.
// A length below 0 is unknown. Of a text of unknown length it reads at most limit+1 bytes,
// which shows that the text exceeds the limit. Its error wraps kingcuphook.ErrOutOfMemory if there
// is no room.
func (a *Account) ReadAll(r io.Reader, length, limit int64) ([]byte, error) {
	if length < 0 {
		return a.readUnknown(r, limit+1)
	}
	if err := a.Grow(length); err != nil {
		return nil, err
	}
	text := make([]byte, length)
	_, err := io.ReadFull(r, text)
	return text, err
}

func (a *Account) readUnknown(r io.Reader, most int64) ([]byte, error) {
	var text []byte
	for int64(len(text)) < most {
		if len(text) == cap(text) {
			larger, err := a.enlarge(text, most)
			if err != nil {
				return nil, err
			}
			text = larger
		}
		n, err := r.Read(text[len(text):cap(text)])
		text = text[:len(text)+n]
		if err == io.EOF { //nolint:errorlint // only a bare io.EOF marks the end
			break
		}
		if err != nil {
			return nil, err
		}
	}
	return text, nil
}

// enlarge returns a copy of text with twice its capacity, but no more than most.
func (a *Account) enlarge(text []byte, most int64) ([]byte, error) {
	size := min(max(2*int64(cap(text)), firstReadBytes), most)
	if err := a.Grow(size); err != nil {
		return nil, err
	}
	larger := make([]byte, len(text), size)
	copy(larger, text)
	a.Shrink(int64(cap(text)))
	return larger, nil
}
