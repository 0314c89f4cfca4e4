package attempt

// MaxReply is the size of the largest reply body that a Record keeps, in
// bytes.
const MaxReply = 64 << 10

// Reply is a whole reply of an upstream, kept for repeats of a keyed call.
// It is not changed once handed over.
type Reply struct {
	Status int
	// Header is the reply's status line and header as received.
	Header []byte
	Body   []byte
}

// size is the memory that r takes, in bytes.
func (r *Reply) size() int { return len(r.Body) + len(r.Header) }
