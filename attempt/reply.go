package attempt

// MaxReplyBytes is the largest reply body that a Record keeps, in bytes.
const MaxReplyBytes = 64 << 10

// Reply is a complete reply of an upstream, kept for repeats of a keyed call. It
// must not be changed after it was passed to a Record.
type Reply struct {
	Status int
	// Header is the reply's status line and header as received.
	Header []byte
	Body   []byte
}

// size returns the size that counts against RecordLimits.ReplyBytes.
func (r *Reply) size() int { return len(r.Body) + len(r.Header) }
