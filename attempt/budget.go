package attempt

// budgetBurst is the number of retries that a Budget saves up.
const budgetBurst = 10

// Budget allows extra attempts as a share of calls: a token bucket that each
// call fills by a fixed part and each extra attempt takes one token from, so
// that a failing service is not sent a multiple of its load.
type Budget struct {
	share  float64
	tokens float64
}

// NewBudget returns a Budget of share extra attempts per call, filled with
// its burst; none where share is 0.
func NewBudget(share float64) Budget {
	b := Budget{share: max(0, share)}
	if b.share > 0 {
		b.tokens = budgetBurst
	}
	return b
}

// SetShare changes the share; the tokens stay.
func (b *Budget) SetShare(share float64) {
	b.share = max(0, share)
	if b.share == 0 {
		b.tokens = 0
	}
}

// Earn adds a call's part.
func (b *Budget) Earn() { b.tokens = min(b.tokens+b.share, budgetBurst) }

// Take uses one token, or returns false where there is none.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
