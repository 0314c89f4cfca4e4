package config

import (
	"context"
	"encoding/json"
	"time"

	"github.com/catkinrouter/catkinrouter/store"
)

// Keys in the platform's store.
const (
	// HeadKey holds the Head.
	HeadKey = "catkin/config/head"
	// PlanPrefix is followed by a plan's ID.
	PlanPrefix = "catkin/config/plan/"
)

const (
	// PlanLifetime is how long a plan is kept for being confirmed. Its key
	// belongs to a lease, so the store itself removes it.
	PlanLifetime = time.Hour
	// maxTries bounds the writes and reads of one confirm.
	maxTries = 8
)

// Committer makes and confirms plans in the platform's store. It keeps no
// state of its own between calls and is safe for concurrent use.
type Committer struct {
	store store.Store
	now   func() time.Time
	count func(Event)
}

// Event names what a Committer met, for counters.
type Event string

// Events of a Committer.
const (
	EventPlanned       Event = "planned"
	EventAccepted      Event = "accepted"
	EventRepeated      Event = "repeated"       // a confirm of a plan accepted before
	EventReadBack      Event = "read-back"      // a write whose answer was lost
	EventRetryConflict Event = "retry-conflict" // a write that lost a race
	EventStale         Event = "stale"
	EventUnknownPlan   Event = "unknown-plan"
	EventUnsettled     Event = "unsettled"
	EventUnavailable   Event = "unavailable"
	EventIndefinite    Event = "indefinite"
	EventInvalid       Event = "invalid"
	EventCorrupt       Event = "corrupt"
)

// Option changes a Committer.
type Option func(*Committer)

// WithClock sets the clock that dates commits.
func WithClock(now func() time.Time) Option { return func(c *Committer) { c.now = now } }

// WithCount sets a function that is called with each event; it must be safe
// for concurrent use.
func WithCount(count func(Event)) Option { return func(c *Committer) { c.count = count } }

// NewCommitter returns a Committer on store.
func NewCommitter(store store.Store, opts ...Option) *Committer {
	c := &Committer{store: store, now: time.Now, count: func(Event) {}}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Head reads the head and the store revision of its key; the zero Head where
// nothing was confirmed yet.
func (c *Committer) Head(ctx context.Context) (Head, int64, error) {
	v, err := c.store.Get(ctx, HeadKey)
	if store.IsKind(err, store.NotFound) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, err
	}
	h, err := DecodeHead(v.Data)
	return h, v.Revision, err
}

// DecodeHead reads the value of HeadKey. Its error is a *CorruptError.
func DecodeHead(b []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(b, &h); err != nil {
		return Head{}, &CorruptError{Key: HeadKey, Err: err}
	}
	if !h.intact() {
		return Head{}, &CorruptError{Key: HeadKey, Err: errDigest}
	}
	return h, nil
}

// Plan checks doc, stores a plan for it and returns the plan. Its errors are
// joined *CheckError, *UnavailableError or *CorruptError.
func (c *Committer) Plan(ctx context.Context, doc *Document) (*Plan, error) {
	return c.plan(ctx, func(*Document) (*Document, error) { return doc, nil })
}

// PlanIntent plans the document in force with in applied to it.
func (c *Committer) PlanIntent(ctx context.Context, in *Intent) (*Plan, error) {
	return c.plan(ctx, in.Apply)
}

// plan stores a plan for what change makes of the document in force, which
// is nil where nothing was confirmed yet.
func (c *Committer) plan(ctx context.Context, change func(*Document) (*Document, error)) (*Plan, error) {
	h, _, err := c.Head(ctx)
	if err != nil {
		return nil, c.unavailable("", err)
	}
	from, err := h.document()
	if err != nil {
		return nil, c.unavailable("", err)
	}
	to, err := change(from)
	if err == nil {
		err = to.Check()
	}
	if err != nil {
		c.count(EventInvalid)
		return nil, err
	}
	p, err := newPlan(h.Revision, from, to)
	if err != nil {
		return nil, err
	}
	if err := c.storePlan(ctx, p); err != nil {
		return nil, c.unavailable("", err)
	}
	c.count(EventPlanned)
	return p, nil
}

// document returns the head's document; nil for the zero Head.
func (h *Head) document() (*Document, error) {
	if h.Revision == 0 {
		return nil, nil
	}
	doc, err := h.Decode()
	if err != nil {
		return nil, &CorruptError{Key: HeadKey, Err: err}
	}
	return doc, nil
}

// storePlan writes p under a lease. The record leaves out what can be worked
// out again.
func (c *Committer) storePlan(ctx context.Context, p *Plan) error {
	record := Plan{ID: p.ID, Base: p.Base, Digest: p.Digest, Document: p.Document, Summary: p.Summary}
	b, err := json.Marshal(record)
	if err != nil {
		return err
	}
	lease, err := c.store.Grant(ctx, PlanLifetime.Milliseconds())
	if err != nil {
		return err
	}
	_, err = c.store.Put(ctx, PlanPrefix+p.ID, b, 0, lease)
	if store.IsKind(err, store.Conflict) {
		return nil // the same plan was stored before
	}
	return err
}

// readPlan returns the record of a plan, nil where it is not kept.
func (c *Committer) readPlan(ctx context.Context, id string) (*Plan, error) {
	v, err := c.store.Get(ctx, PlanPrefix+id)
	if store.IsKind(err, store.NotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	p := &Plan{}
	if err := json.Unmarshal(v.Data, p); err != nil {
		return nil, &CorruptError{Key: PlanPrefix + id, Err: err}
	}
	if p.ID != id || p.ID != planID(p.Base, p.Document) {
		return nil, &CorruptError{Key: PlanPrefix + id, Err: errDigest}
	}
	return p, nil
}

// unavailable wraps a fault of the store, and counts it.
func (c *Committer) unavailable(plan string, err error) error {
	if _, ok := err.(*CorruptError); ok {
		c.count(EventCorrupt)
		return err
	}
	c.count(EventUnavailable)
	return &UnavailableError{Plan: plan, Err: err}
}
