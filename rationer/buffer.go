package rationer

// Buffer collects bytes whose memory is reserved before it is allocated. It is not safe for
// concurrent use.
type Buffer struct {
	// Account holds the memory; never nil.
	Account *Account
	// Copies is how often the content is in memory at the same time.
	Copies int

	data []byte
}

// Bytes returns the content, which is valid until the next Append or Reset.
func (b *Buffer) Bytes() []byte { return b.data }

// Len returns the number of bytes of the content.
func (b *Buffer) Len() int { return len(b.data) }

// Reset empties the buffer. Its memory stays reserved for what follows.
func (b *Buffer) Reset() { b.data = b.data[:0] }

// Append adds p. It returns an error that wraps kingcuphook.ErrOutOfMemory if there is no room.
func (b *Buffer) Append(p []byte) error {
	if need := len(b.data) + len(p); need > cap(b.data) {
		size := max(need, 2*cap(b.data))
		if err := b.Account.Grow(int64(b.Copies * (size - cap(b.data)))); err != nil {
			return err
		}
		b.data = append(make([]byte, 0, size), b.data...)
	}
	b.data = append(b.data, p...)
	return nil
}
