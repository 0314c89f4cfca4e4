package membudget

import (
	"errors"
	"io"
)

const (
	// minBuffer is the first size of the buffer for a body of unknown length.
	minBuffer = 4 << 10 // bytes
	// maxFirstBuffer limits it also if more is announced: it may never arrive.
	maxFirstBuffer = SmallBytes
)

// ReadAll reads src to its end, within the memory of the reservation. The buffer grows with
// what arrives; size is the announced length, or negative.
func (r *Reservation) ReadAll(src io.Reader, size int64) ([]byte, error) {
	if size > r.limit {
		return nil, ErrTooLarge
	}
	first := int64(minBuffer)
	if size >= 0 {
		first = min(size, maxFirstBuffer) + 1 // one more, to see the end
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			next := max(first, min(2*int64(cap(body)), r.limit+1))
			if err := r.GrowTo(min(next, r.limit)); err != nil || next == int64(cap(body)) {
				return nil, errors.Join(err, ErrTooLarge)
			}
			body = append(make([]byte, 0, next), body...)
		}
		n, err := src.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
