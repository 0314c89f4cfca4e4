package attempt

// Reply is a whole reply of an upstream, kept for repeats of a keyed call.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
}
