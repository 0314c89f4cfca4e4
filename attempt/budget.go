package attempt

// budgetBurst is the capacity of a Budget, in extra attempts.
const budgetBurst = 10

// Budget limits extra attempts (retries and hedges) to a share of the calls, so
// that a failing service is not sent a multiple of its load. It is a token
// bucket: each call adds a fixed part of a token, each extra attempt takes one.
type Budget struct {
	share  float64
	tokens float64
}

// NewBudget returns a Budget of share extra attempts per call. The bucket is
// full at first; it is empty if share is 0.
func NewBudget(share float64) Budget {
	b := Budget{share: max(0, share)}
	if b.share > 0 {
		b.tokens = budgetBurst
	}
	return b
}

// SetShare changes the share. The tokens are kept, unless share is 0.
func (b *Budget) SetShare(share float64) {
	b.share = max(0, share)
	if b.share == 0 {
		b.tokens = 0
	}
}

// Deposit adds one call's part of a token.
func (b *Budget) Deposit() { b.tokens = min(b.tokens+b.share, budgetBurst) }

// Take takes one token. It returns false if there is none.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
